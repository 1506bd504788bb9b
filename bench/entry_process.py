"""Run a real entry of the platform as a process."""

import contextlib
import os
import pathlib
import resource
import signal
import subprocess
import sys
import time
from typing import NamedTuple

import gevent
from gevent import socket

from nutmegslip_runtime.clock import boottime_ms
from nutmegslip_runtime.http1 import (
    ClientConnection,
    ConnectionBroken,
    NotConnected,
    ResponseHead,
    encode_request,
)

ROOT = pathlib.Path(__file__).parent.parent
READY_STATUS = 200
LISTEN_STATE = "0A"  # in /proc/net/tcp, whose queue then counts connections
START_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_MS = 8_000

_SETTINGS = """\
[process]
host = "{name}"
zone = "a"
metrics_port = {metrics}
first_start = {first_start}
{host_limits}
[listen]
callers = "{ip}:{callers}"
ready = "{ip}:{ready}"
peers = "{ip}:{peers}"
[fleet]
seeds = [{seeds}]
zones = ["a"]
[store]
address = "{store}"
[bounds]
budget_ratio = 0.2
budget_window_s = {budget_window_s}
budget_slack = {budget_slack}
cold_multiplier = 1.5
cold_slack = 5
stop_grace_s = 8
[hedge]
max_share = {hedge_share}
"""


class RetryLimits(NamedTuple):
    """The retry budget of a service, beside a fifth of its requests."""

    window_s: int = 10
    slack: int = 88


class HostLimits(NamedTuple):
    """What the host of an entry allows its process."""

    memory_mb: int
    file_descriptors: int


class Ports(NamedTuple):
    """Ports that an entry listens on."""

    callers: int
    ready: int
    metrics: int
    peers: int


class Reply(NamedTuple):
    """Response as a caller sees it; ``complete`` means that its end was received."""

    status: int
    head: ResponseHead | None
    body: bytes
    complete: bool


_USUAL_RETRIES = RetryLimits()


class EntryProcess:
    """An entry that can be restarted; its log file is kept across restarts.

    ``root`` is the checkout from which it is started next.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        store: str,
        *,
        ip: str = "127.0.0.1",
        peers_port: int = 0,
        seeds: tuple[str, ...] = (),
        retries: RetryLimits = _USUAL_RETRIES,
        hedge_share: float = 0.0,
        host_limits: HostLimits | None = None,
        root: pathlib.Path = ROOT,
    ) -> None:
        self.ip = ip
        self.root = root
        # Kept bound, so that nothing else gets a port before the entry listens.
        self._reserved = [reserve_port(ip) for _ in range(len(Ports._fields))]
        *own, peers = [sock.getsockname()[1] for sock in self._reserved]
        self.ports = Ports(*own, peers_port or peers)
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.toml"
        self._process: subprocess.Popen | None = None
        seed_list = ", ".join(f'"{seed}:{self.ports.peers}"' for seed in seeds)
        self._first_start = True
        self._host_limits = host_limits
        limits = host_limits._asdict() if host_limits else {}
        self._fields = {
            "name": name,
            "ip": ip,
            "store": store,
            "seeds": seed_list,
            "budget_window_s": retries.window_s,
            "budget_slack": retries.slack,
            "hedge_share": hedge_share,
            "host_limits": "\n".join(f"{k} = {v}" for k, v in limits.items()),
            **self.ports._asdict(),
        }
        self._write_settings()

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process."""
        self._write_settings()
        self._first_start = False
        with self.log.open("a") as output:
            self._process = subprocess.Popen(
                [sys.executable, "platform/entry.py"],
                cwd=self.root,
                env=os.environ | {"NUTMEGSLIP_CONFIG": str(self.settings)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        if self._host_limits is not None:
            descriptors = self._host_limits.file_descriptors
            allowed = (descriptors, descriptors)
            resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, allowed)

    def _write_settings(self) -> None:
        first_start = "true" if self._first_start else "false"
        self.settings.write_text(
            _SETTINGS.format(first_start=first_start, **self._fields)
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def becomes_ready(self) -> bool:
        """Wait until the process is ready or has ended; return whether it is ready."""
        while self.is_running:
            if self.get(self.ports.ready, b"/readiness").status == READY_STATUS:
                return True
            gevent.sleep(0.05)
        return False

    def wait_ready(self, status: int = READY_STATUS) -> None:
        """Wait until the readiness endpoint returns a status."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while self.get(self.ports.ready, b"/readiness").status != status:
            if time.monotonic() > deadline_s:
                raise AssertionError(self.log.read_text()[-2_000:])
            gevent.sleep(0.05)

    def wait_exit(self, timeout_s: float) -> int | None:
        """Wait for the process to exit; return its exit code or None on timeout."""
        deadline_s = time.monotonic() + timeout_s
        while self.is_running and time.monotonic() < deadline_s:
            gevent.sleep(0.05)
        return self._process.poll()

    def kill(self) -> None:
        """Kill the process if it is running."""
        if self.is_running:
            self._process.kill()
            self._process.wait()

    def peak_memory_mb(self) -> float:
        """Return the peak of the resident memory."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        (peak,) = [line for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(peak.split()[1]) / 1_024

    def resident_bytes(self) -> int:
        """Return the resident memory, 0 if the process has ended."""
        try:
            statm = pathlib.Path(f"/proc/{self._process.pid}/statm").read_text()
        except (FileNotFoundError, ProcessLookupError):
            return 0
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE") if statm else 0

    def descriptors(self) -> tuple[str, ...]:
        """Return what the open descriptors refer to, as the kernel names it."""
        folder = f"/proc/{self._process.pid}/fd"
        found = []
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            for name in os.listdir(folder):
                with contextlib.suppress(FileNotFoundError, ProcessLookupError):
                    found.append(os.readlink(f"{folder}/{name}"))
        return tuple(found)

    def unread_bytes(self) -> int:
        """Return the bytes that the kernel holds for the process to read.

        Connections that wait to be accepted belong to no process yet; the local port
        identifies them.
        """
        inodes = {name[8:-1] for name in self.descriptors() if name[:7] == "socket:"}
        unread = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, _, _, _, _, inode, *_ = line.split()
            port = int(local.rpartition(":")[2], 16)
            if state != LISTEN_STATE and (
                inode in inodes or port == self.ports.callers
            ):
                unread += int(queues.rpartition(":")[2], 16)
        return unread

    def close(self) -> None:
        """Kill the process and give its ports back."""
        self.kill()
        for sock in self._reserved:
            sock.close()

    def get(self, port: int, target: bytes) -> Reply:
        """Send a GET request to a port; the status is 0 without a response."""
        try:
            connection = ClientConnection.connect(self.ip, port, 1.0, boottime_ms)
        except NotConnected as error:
            return Reply(0, None, str(error).encode(), False)
        reply = exchange(connection, b"GET", target, [(b"host", b"entry")], b"")
        connection.close()
        return reply

    def connect(self) -> ClientConnection:
        """Open a caller's connection."""
        return ClientConnection.connect(self.ip, self.ports.callers, 2.0, boottime_ms)


def exchange(
    connection: ClientConnection,
    method: bytes,
    target: bytes,
    headers: list,
    body: bytes,
) -> Reply:
    """Send a request on an open connection; return the reply, even if incomplete."""
    head, received = None, b""
    try:
        connection.send(encode_request(method, target, headers, body), 2.0)
        deadline_ms = boottime_ms() + ANSWER_TIMEOUT_MS
        head = connection.read_head(deadline_ms)
        while part := connection.read_body(deadline_ms):
            received += part
    except (ConnectionBroken, OSError):
        return Reply(head.status if head else 0, head, received, False)
    return Reply(head.status, head, received, True)


def reserve_port(ip: str = "127.0.0.1") -> socket.socket:
    """Return a socket that keeps a port; a listener that reuses addresses gets it.

    Only the owner asks for this port by number, and no other process is given it
    while the socket is open.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ip, 0))
    return sock
