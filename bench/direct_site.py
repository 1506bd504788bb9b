"""Run a real entry on the platform's path, before stand-ins in this process."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import NamedTuple

import gevent
from gevent import socket

from fakes.runners import Runner
from fakes.store import StoreServer
from nutmegslip_runtime.clock import elapsed_ms
from nutmegslip_runtime.http1 import (
    Answer,
    Channel,
    ChannelBroken,
    NotConnected,
    encode_request,
)

ROOT = pathlib.Path(__file__).parent.parent
START_TIMEOUT_S = 20.0
ANSWER_MS = 8_000
KEY = "key-1"
HOST = b"hymns.example"

_SETTINGS = """\
[process]
host = "entry-1"
zone = "a"
metrics_port = {metrics}
[listen]
callers = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
peers = "127.0.0.1:{peers}"
[fleet]
seeds = []
zones = ["a"]
[store]
address = "{store}"
[bounds]
budget_ratio = 0.2
budget_slack = 88
cold_multiplier = 1.5
cold_slack = 5
stop_grace_s = 8
"""


class Reply(NamedTuple):
    """Hold an answer as a caller sees it; ``whole`` is whether its end was told."""

    status: int
    answer: Answer | None
    body: bytes
    whole: bool


def route(name: str, service: str, kind: str, **fields: object) -> dict:
    """Return a published route."""
    return {
        "name": name,
        "host": HOST.decode(),
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3_000,
        "latencyTargetMs": 200,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": False,
    } | fields


def published(version: int, *routes: dict, **fields: object) -> dict:
    """Return a published configuration."""
    usual = (
        route("lookups", "board", "idempotent"),
        route("pushes", "board", "non_idempotent", attempts=1),
        route("verses", "model", "streaming", resumable=True, gapTargetMs=120),
        route("open", "board", "idempotent", public=True),
    )
    return {
        "version": version,
        "routes": list(routes or usual),
        "services": [{"name": "board"}, {"name": "model", "coldPerS": 28.0}],
        "limits": {
            "headerBytes": 4_096,
            "bodyBytes": 65_536,
            "headerTimeoutMs": 300,
            "idleTimeoutMs": 5_000,
        },
        "tenants": [{"name": "parish", "apiKeys": [KEY], "priority": 1}],
    } | fields


class Site:
    """Hold one entry as a process, its store and its runners."""

    def __init__(self) -> None:
        self.store = StoreServer()
        self.runners: dict[str, Runner] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._process: subprocess.Popen | None = None
        self._ids = 0
        self.ports = [_free_port() for _ in range(4)]

    def publish(self, configuration: dict) -> None:
        """Write a configuration as the operator does."""
        self.store.history.put("op/config", configuration)

    def add(self, name: str, service: str, *, events: int = 0, **fields) -> Runner:
        """Start a runner and list it."""
        runner = self.runners[name] = Runner(name, events=events)
        self.list(name, service, **fields)
        return runner

    def list(self, name: str, service: str, **fields: object) -> None:
        """Write a runner's entry."""
        entry = self.runners[name].entry(service, **fields)
        self.store.history.put(f"servers/{name}", entry)

    def start(self) -> None:
        """Start the entry and wait until it says that it is ready."""
        callers, ready, metrics, peers = self.ports
        file = pathlib.Path(self._folder.name) / "entry.toml"
        file.write_text(
            _SETTINGS.format(
                callers=callers,
                ready=ready,
                metrics=metrics,
                peers=peers,
                store=self.store.address,
            )
        )
        self.log = pathlib.Path(self._folder.name) / "entry.log"
        with self.log.open("w") as output:
            self._process = subprocess.Popen(
                [sys.executable, "platform/entry.py"],
                cwd=ROOT,
                env=os.environ | {"NUTMEGSLIP_CONFIG": str(file)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.wait_ready(200)

    def wait_ready(self, status: int) -> None:
        """Wait until the readiness call answers a status."""
        end = time.monotonic() + START_TIMEOUT_S
        while self.readiness() != status:
            if time.monotonic() > end:
                raise AssertionError(self.log.read_text()[-2_000:])
            gevent.sleep(0.05)

    def readiness(self) -> int:
        """Return the status of the readiness call, 0 where none answers."""
        return self.get(self.ports[1], b"/readiness").status

    def metrics(self) -> str:
        """Return the page of metrics."""
        return self.get(self.ports[2], b"/metrics").body.decode()

    def get(self, port: int, target: bytes) -> Reply:
        """Make a plain call to one of the entry's ports."""
        try:
            channel = Channel.connect("127.0.0.1", port, 1.0, elapsed_ms)
        except NotConnected as error:
            return Reply(0, None, str(error).encode(), False)
        return self._exchange(channel, b"GET", target, [(b"host", b"entry")], b"")

    def ask(
        self,
        target: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        key: str | None = KEY,
        request_id: str = "",
    ) -> Reply:
        """Send a caller's request on a new connection; return what came."""
        fields = self.fields(request_id, key) + list(headers)
        return self._exchange(
            self.connect(), method.encode(), target.encode(), fields, body
        )

    def fields(self, request_id: str = "", key: str | None = KEY) -> list:
        """Return the headers of a caller's request."""
        self._ids += 1
        name = request_id or f"request-{self._ids}"
        known = [] if key is None else [(b"X-Nutmegslip-Key", key.encode())]
        return [
            (b"Host", HOST),
            (b"X-Nutmegslip-Request-Id", name.encode()),
            (b"X-Nutmegslip-Deadline-Ms", b"3000"),
            *known,
        ]

    def connect(self) -> Channel:
        """Open a caller's connection."""
        return Channel.connect("127.0.0.1", self.ports[0], 2.0, elapsed_ms)

    def raw(self, data: bytes) -> bytes:
        """Send bytes; return all that comes until the entry closes."""
        sock = socket.create_connection(("127.0.0.1", self.ports[0]), 2.0)
        sock.settimeout(4.0)
        sock.sendall(data)
        found = b""
        while part := sock.recv(65_536):
            found += part
        sock.close()
        return found

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the entry."""
        self._process.send_signal(number)

    def wait_end(self, timeout_s: float) -> int:
        """Wait for the entry to end; return its exit code."""
        end = time.monotonic() + timeout_s
        while self._process.poll() is None and time.monotonic() < end:
            gevent.sleep(0.05)
        return self._process.poll()

    def close(self) -> None:
        """End everything that this site started."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        for runner in self.runners.values():
            runner.close()
        self.store.close()
        self._folder.cleanup()

    def _exchange(
        self, channel: Channel, method: bytes, target: bytes, fields: list, body: bytes
    ) -> Reply:
        answer, found = None, b""
        try:
            channel.send(encode_request(method, target, fields, body), 2.0)
            deadline_ms = elapsed_ms() + ANSWER_MS
            answer = channel.read_answer(deadline_ms)
            while part := channel.read_body(deadline_ms):
                found += part
        except (ChannelBroken, OSError):
            return Reply(answer.status if answer else 0, answer, found, False)
        finally:
            channel.close()
        return Reply(answer.status, answer, found, True)


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
