"""Stand-ins of a small deployment: the platform's store, servers and clients.

Everything listens on loopback addresses and uses the real clock. A driver starts the
entries as separate processes, with the command of the deploy file.
"""

import asyncio
import base64
import hashlib
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 10, 2  # run.sh exits with 0, 1 and 2
HEADER_END = b"\r\n\r\n"
HOST = "app.example"
ERA = 1
HISTORY_S = 20.0  # platform.historyS

# Bounds of the small sites, in the names of the settings template.
BOUNDS = """\
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 88
cold_multiplier = 1.5
cold_slack = 5
evacuation_s = 5
stop_grace_s = 8
"""


class Case:
    """The record of one run, and what it has started."""

    def __init__(self, folder: str) -> None:
        self._file = open(pathlib.Path(folder) / "record.txt", "w")  # noqa: SIM115
        self._began = time.monotonic()
        self._processes: list[asyncio.subprocess.Process] = []
        self._tasks: list[asyncio.Task] = []
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.note(f"trouble: {'on' if TROUBLE else 'off'}")

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Write one line of the record."""
        self._file.write(f"{self.now():9.3f} {text}\n")

    def verdict(self, broken: bool, text: str) -> int:
        """Write the verdict; return the exit code."""
        line = f"{'BROKEN' if broken else 'held'}: {text}"
        self.note(line)
        print(line)
        return BROKEN if broken else HELD

    async def start(
        self, *words: str, env: dict[str, str] | None = None, **pipes: Any
    ) -> asyncio.subprocess.Process:
        """Start a process that ends with the run."""
        process = await asyncio.create_subprocess_exec(*words, env=env, **pipes)
        self._processes.append(process)
        return process

    def keep(self, task: asyncio.Task) -> None:
        """Cancel a task at the end of the run."""
        self._tasks.append(task)

    def path(self, name: str) -> pathlib.Path:
        """Return a path in the temporary folder of the run."""
        return self._folder / name

    async def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for task in self._tasks:
            task.cancel()
        for process in self._processes:
            if process.returncode is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    process.send_signal(number)
                await process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)
        self._file.close()


def run(folder: str, play: Callable[[Case], Awaitable[int]]) -> None:
    """Play a case and exit with its code."""

    async def play_once() -> int:
        case = Case(folder)
        try:
            return await asyncio.wait_for(play(case), 115)
        except Exception as error:  # whatever it is, it says nothing of the rule
            case.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await case.close()

    sys.exit(asyncio.run(play_once()))


class NotReadyError(Exception):
    """The system did not begin to serve."""


def free_port(ip: str = "127.0.0.1", kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free at this moment."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def unix_ms() -> int:
    """Return the time of day in milliseconds."""
    return int(time.time() * 1_000)


class Message(NamedTuple):
    """A request or a response; ``first`` are the words of its first line."""

    first: list[str]
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with a length, in chunks, or without a body."""
    head = (await reader.readuntil(HEADER_END)).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    body = b""
    if length := int(headers.get("content-length", "0")):
        body = await reader.readexactly(length)
    elif headers.get("transfer-encoding") == "chunked":
        body = await read_chunks(reader)
    return Message(first.split(" ", 2), headers, body)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks up to its end."""
    body = b""
    while size := int(await reader.readuntil(b"\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\n")
    return body


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a complete response."""
    lines = [f"HTTP/1.1 {status} S", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def serve(
    handle: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
    ip: str = "127.0.0.1",
    port: int = 0,
) -> asyncio.Server:
    """Listen on a loopback address."""

    async def guarded(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await handle(reader, writer)
        except (OSError, EOFError):
            pass  # the other side has closed the channel
        finally:
            writer.close()

    return await asyncio.start_server(guarded, ip, port, limit=2**20)


class Store:
    """The platform's store; ``loses_answers`` makes it lose the answers to calls.

    A channel on which an answer was lost returns nothing further.
    """

    def __init__(self, case: Case) -> None:
        self._case = case
        self._revision = 7
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[tuple[float, dict[str, Any]]] = []
        self._dropped = 0  # the last revision that left the history
        self._changed = asyncio.Event()
        self.loses_answers = False
        self.lost = 0
        self.address = ""

    async def open(self) -> None:
        """Listen."""
        server = await serve(self._serve)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def register(
        self,
        name: str,
        address: str,
        service: str,
        zone: str,
        slots: int,
        *,
        born: int,
        state: str = "ready",
    ) -> float:
        """Write the item that a server registers for itself; return the time."""
        return self.put(
            f"servers/{name}",
            {
                "service": service,
                "address": address,
                "zone": zone,
                "version": "1",
                "slots": slots,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": 1,
                "born": born,
            },
        )

    def put(self, key: str, value: Any) -> float:
        """Write an item as JSON; return the time of the confirmation."""
        return self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> float:
        """Write an item of any bytes; return the time of the confirmation."""
        self._revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "createRev": self._items.get(key, {}).get("createRev", self._revision),
            "lease": 0,
        }
        self._items[key] = item
        return self._record(item)

    def remove(self, key: str) -> float:
        """Remove an item; return the time of the confirmation."""
        self._revision += 1
        self._items.pop(key, None)
        return self._record({"key": key, "revision": self._revision, "removed": True})

    def _record(self, event: dict[str, Any]) -> float:
        self._events.append((self._case.now(), event))
        self._changed.set()
        self._changed = asyncio.Event()
        self._case.note(f"store confirms {event['key']} at {self._revision}")
        return self._case.now()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            call = await read_message(reader)
            target = urlsplit(call.first[1])
            query = {name: found[0] for name, found in parse_qs(target.query).items()}
            status = 200
            if target.path == "/kv-range":
                body = self._range(query)
            elif self._has_history(int(query["after"])):
                body = await self._watch(query)
            else:
                status, body = 410, {}
            if self.loses_answers:
                self.lost += 1
                self._case.note(f"store loses the answer to {target.path}")
                await reader.read()  # the channel returns nothing further
                return
            data = json.dumps(body).encode()
            head = {"content-type": "application/json", "store-era": str(ERA)}
            writer.write(encode_answer(status, head, data))
            await writer.drain()

    def _has_history(self, after: int) -> bool:
        """Return whether all changes since a revision are still known."""
        while self._events and self._events[0][0] < self._case.now() - HISTORY_S:
            self._dropped = self._events.pop(0)[1]["revision"]
        return after >= self._dropped

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix = query.get("pathPrefix", "")
        keys = sorted(key for key in self._items if key.startswith(prefix))
        later = [key for key in keys if key > query.get("after", "")]
        return {
            "items": [self._items[key] for key in later[:400]],
            "hasMore": len(later) > 400,
            "currentRev": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1_000
        while not (events := [e for _, e in self._events if e["revision"] > after]):
            left = end - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        return {"events": events, "currentRev": self._revision}


class Arrival(NamedTuple):
    """A request as a server got it; ``ran`` is whether the server began to work."""

    at: float
    server: str
    request: str
    path: str
    account: str
    parts: str
    ran: bool


Work = Callable[["Server", Message, asyncio.StreamWriter], Awaitable[bool]]


class Server:
    """A server of a plain service; ``work`` may answer in another way.

    ``work`` returns whether it has answered.
    """

    def __init__(
        self,
        case: Case,
        store: Store,
        name: str,
        service: str,
        *,
        zone: str = "zone-a",
        slots: int = 6,
        work_s: float = 0.02,
        work: Work | None = None,
    ) -> None:
        self._case = case
        self._store = store
        self._service = service
        self._zone = zone
        self._slots = slots
        self._work_s = work_s
        self._work = work
        self.name = name
        self.arrivals: list[Arrival] = []
        self.crashes: list[float] = []
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._port = 0
        self._born = 0

    async def open(self) -> None:
        """Listen, and register in the store."""
        self._listener = await serve(self._serve_channel, port=self._port)
        _, self._port = self._listener.sockets[0].getsockname()
        self._born = unix_ms()
        self.register()

    def register(self, state: str = "ready") -> float:
        """Write the own item in the store; return the time of the confirmation."""
        return self._store.register(
            self.name,
            f"127.0.0.1:{self._port}",
            self._service,
            self._zone,
            self._slots,
            born=self._born,
            state=state,
        )

    async def crash(self, down_s: float) -> None:
        """Reset every channel, and start again as a new incarnation after a while."""
        if self._listener is None:
            return
        listener, self._listener = self._listener, None
        self.crashes.append(self._case.now())
        self._case.note(f"server {self.name} crashes")
        listener.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(down_s)
        await self.open()

    async def _serve_channel(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_message(reader)
            headers = request.headers
            expected = headers.get("x-nutmegslip-expect-instance", self.name)
            ran = expected == self.name
            arrival = Arrival(
                self._case.now(),
                self.name,
                headers.get("x-nutmegslip-request-id", ""),
                request.first[1],
                headers.get("x-nutmegslip-tenant", ""),
                headers.get("x-nutmegslip-prompt-prefix", ""),
                ran,
            )
            self.arrivals.append(arrival)
            self._case.note(
                f"server {self.name} {'runs' if ran else 'turns away'} "
                f"{arrival.request} {arrival.path} for {arrival.account or 'nobody'}"
            )
            own = {"x-nutmegslip-request-id": arrival.request}
            if not ran:
                writer.write(
                    encode_answer(421, own | {"x-nutmegslip-not-executed": "1"}, b"")
                )
            elif self._work is None or not await self._work(self, request, writer):
                await asyncio.sleep(self._work_s)
                writer.write(sealed_answer(request, f"{self.name} done\n".encode()))
            await writer.drain()


def sealed_answer(request: Message, body: bytes, status: int = 200) -> bytes:
    """Return the answer of a server that has run a request."""
    headers = {
        "x-nutmegslip-request-id": request.headers.get("x-nutmegslip-request-id", ""),
        "x-nutmegslip-response-seal": hashlib.sha256(body).hexdigest()[:16],
        "content-type": "text/plain",
    }
    return encode_answer(status, headers, body)


async def stream_events(
    request: Message, writer: asyncio.StreamWriter, count: int, pause_s: float
) -> None:
    """Answer with a stream of events with increasing ids."""
    name = request.headers.get("x-nutmegslip-request-id", "")
    writer.write(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
        "content-type: text/event-stream\r\n"
        "x-nutmegslip-response-seal: 0123456789abcdef\r\n"
        f"x-nutmegslip-request-id: {name}\r\n\r\n".encode()
    )
    first = int(request.headers.get("last-event-id", "0") or "0")
    for number in range(first + 1, count + 1):
        await asyncio.sleep(pause_s)
        if writer.is_closing():
            return
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    writer.write(b"0\r\n\r\n")


async def start_flood(
    case: Case, store: Store, name: str, content_type: str, chunk_bytes: int
) -> None:
    """Start a model server whose answers do not end, as a process of its own."""
    program = str(pathlib.Path(__file__).with_name("flood.py"))
    words = ("python3", program, name, content_type, str(chunk_bytes))
    flood = await case.start(*words, stdout=asyncio.subprocess.PIPE)
    port = int(await flood.stdout.readline())
    store.register(name, f"127.0.0.1:{port}", "model", "zone-a", 6, born=unix_ms())

    async def copy() -> None:
        while line := await flood.stdout.readline():
            case.note(f"server {name} {line.decode().strip()}")

    case.keep(asyncio.create_task(copy()))


class Entry:
    """An entry process, started with the command of the deploy file."""

    def __init__(
        self,
        case: Case,
        store: Store,
        name: str,
        ip: str,
        peers_port: int,
        seeds: list[str],
        *,
        zone: str = "zone-a",
        zones: tuple[str, ...] = ("zone-a",),
        first: bool = True,
    ) -> None:
        self._case = case
        self._name = name
        self.ip = ip
        ports = [free_port(ip) for _ in range(3)]
        self.callers, self._ready, metrics = ports
        seed_list = ", ".join(f'"{seed}:1"' for seed in seeds)
        zone_list = ", ".join(f'"{known}"' for known in zones)
        self._settings = case.path(f"{name}.toml")
        self._settings.write_text(
            f'[process]\nhost = "{name}"\nzone = "{zone}"\n'
            f"metrics_port = {metrics}\n"
            f"{'first_start = true' if first else ''}\n"
            f'[listen]\ncallers = "{ip}:{self.callers}"\nready = "{ip}:{self._ready}"\n'
            f'peers = "{ip}:{peers_port}"\n'
            f"[fleet]\nseeds = [{seed_list}]\nzones = [{zone_list}]\n"
            f'[store]\naddress = "{store.address}"\n'
            f"[bounds]\n{BOUNDS}"
            "[hedge]\nmax_share = 0  # as in the template\n"
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, stdout: Any = None) -> None:
        """Start the process; its log goes to a file unless ``stdout`` is given."""
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["NUTMEGSLIP_CONFIG"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        # Other than on the platform, the tree is left as it is.
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = self._case.path(f"{self._name}.log").open("ab")
        self.process = await self._case.start(
            "python3",
            "platform/entry.py",
            env=env,
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log if stdout is None else stdout,
            stderr=log,
        )
        log.close()
        self._case.note(f"entry {self._name} started, process {self.process.pid}")

    async def wait_ready(self, timeout_s: float = 25.0) -> None:
        """Wait until the process says that it is ready."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            reply = await call(self.ip, self._ready, "GET", "/readiness", {}, b"", 1.0)
            if reply.status == 200:
                self._case.note(f"entry {self._name} is ready")
                return
            await asyncio.sleep(0.1)
        raise NotReadyError(f"entry {self._name} is not ready")

    async def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        reply = await call(self.ip, self._ready, "GET", "/readiness", {}, b"", 1.0)
        return reply.status == 200

    def memory_mb(self) -> tuple[float, float]:
        """Return the resident memory of the process, and its peak."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        fields = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
        return tuple(
            int(fields[name].split()[0]) / 1_024 for name in ("VmRSS", "VmHWM")
        )


class Reply(NamedTuple):
    """What a client got; ``status`` is 0 without a complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    took_s: float
    failure: str = ""


async def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> Reply:
    """Send one request on a new channel, and read its answer."""
    began = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [f"{method} {path} HTTP/1.1", f"host: {HOST}", "connection: close"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body:
                lines.append(f"content-length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            answer = await read_message(reader)
            took_s = time.monotonic() - began
            return Reply(int(answer.first[1]), answer.headers, answer.body, took_s)
    except TimeoutError:
        return Reply(0, {}, b"", time.monotonic() - began, "no answer in time")
    except (OSError, EOFError) as error:
        return Reply(0, {}, b"", time.monotonic() - began, repr(error))
    finally:
        if writer is not None:
            writer.close()


class Client:
    """Sends requests to an entry, and records them."""

    def __init__(self, case: Case, entry: Entry) -> None:
        self._case = case
        self._entry = entry
        self._count = 0

    async def send(
        self,
        path: str,
        *,
        key: str | None = None,
        method: str = "GET",
        body: bytes = b"",
        limit_ms: int = 1_500,
        wait_s: float | None = None,
        extra: dict[str, str] | None = None,
    ) -> tuple[str, Reply]:
        """Send a request; return its id and the answer."""
        self._count += 1
        request = f"{self._entry.ip.rpartition('.')[2]}-{self._count:05d}"
        headers = {
            "x-nutmegslip-request-id": request,
            "x-nutmegslip-deadline-ms": str(limit_ms),
        } | (extra or {})
        if key is not None:
            headers["x-nutmegslip-key"] = key
        self._case.note(f"client sends {request} {method} {path} with key {key}")
        timeout_s = limit_ms / 1_000 if wait_s is None else wait_s
        reply = await call(
            self._entry.ip,
            self._entry.callers,
            method,
            path,
            headers,
            body,
            timeout_s,
        )
        self._case.note(
            f"client gets {reply.status or reply.failure} for {request} "
            f"after {reply.took_s:.3f} s"
        )
        return request, reply


def route(name: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a published route; its path is its name."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": "idempotent",
        "timeoutMs": 800,
        "latencyTargetMs": 200,
        "priority": 2,
        "service": service,
        "attempts": 2,
    } | fields


def configuration(version: int, routes: list[dict], **fields: Any) -> dict[str, Any]:
    """Return a published configuration."""
    services = sorted({found["service"] for found in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "connectionLimit": 96}
            for name in services
        ],
        "limits": {
            "headerBytes": 16_384,
            "bodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    } | fields
