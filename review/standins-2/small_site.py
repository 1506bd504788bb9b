"""Stand-ins for the cases 6 to 10: a store, runners, clients, and real entries.

Everything listens on loopback, and everything that was started is ended. Only the
standard library is used. The entries are separate processes, started with the command
of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "site.example"
HEARTBEAT_S = 1.2
SILENT_HEARTBEATS = 3
STABILITY_S = 3.0
DRAIN_S = 2.0
MAX_ITEMS = 500

SETTINGS = """\
[process]
host = "{name}"
zone = "{zone}"
metrics_port = {metrics}
{first}

[listen]
callers = "{ip}:{callers}"
ready = "{ip}:{ready}"
peers = "{ip}:{peers}"

[fleet]
seeds = [{seeds}]
zones = [{zones}]

[store]
address = "{store}"

[bounds]
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 88
cold_multiplier = 1.5
cold_slack = 5
evacuation_s = 5000e-3
stop_grace_s = 8

[hedge]
max_share = 0
"""


def now() -> float:
    """Return the time in seconds."""
    return time.monotonic()


def free_port(*ips: str) -> int:
    """Return a port that is free on all of these addresses."""
    for _ in range(200):
        with socket.socket() as first:
            first.bind((ips[0], 0))
            port = first.getsockname()[1]
        if all(_is_free(ip, port) for ip in ips):
            return port
    raise OSError("no port is free on all addresses")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


class Message:
    """A request or a response head."""

    def __init__(self, first: str, headers: list[tuple[str, str]]) -> None:
        self.first = first
        self.headers = headers

    def header(self, name: str) -> str | None:
        """Return the first header of a name, None without one."""
        name = name.lower()
        return next((v for n, v in self.headers if n.lower() == name), None)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next head, None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = [tuple(line.split(": ", 1)) for line in lines if line]
    return Message(first, [(h[0], h[1] if h[1:] else "") for h in headers])


def head_bytes(status: int, headers: list[tuple[str, str]]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'Status'}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a channel with a reset, as the end of a process does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()


class Record:
    """What was sent, answered and run."""

    def __init__(self) -> None:
        self.started = now()
        self.lines: list[str] = []

    def add(self, what: str, *fields: object) -> None:
        """Add one line."""
        at = now() - self.started
        self.lines.append(f"{at:8.3f} {what} " + " ".join(str(f) for f in fields))

    def write(self, folder: pathlib.Path) -> None:
        """Write all lines."""
        (folder / "record.txt").write_text("\n".join(self.lines) + "\n")


class Store:
    """The platform's store: linearizable reads of one history."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 100
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def put(self, key: str, value: object) -> None:
        """Write an item."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        old = self.items.get(key)
        item = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "createRev": old["createRev"] if old else self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._tell(item)

    def remove(self, key: str) -> None:
        """Remove an item."""
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._tell({"key": key, "revision": self.revision, "removed": True})

    def _tell(self, event: dict) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                status, body = await self._answer(head.first.split(" ")[1])
                data = json.dumps(body).encode()
                headers = [
                    ("Content-Type", "application/json"),
                    ("Store-Era", "1"),
                    ("Content-Length", str(len(data))),
                ]
                await asyncio.sleep(0.004)
                writer.write(head_bytes(status, headers) + data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict]:
        path, _, query = target.partition("?")
        fields = dict(p.partition("=")[::2] for p in query.split("&") if p)
        fields = {k: v.replace("%2F", "/") for k, v in fields.items()}
        if path == "/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(fields.get("pathPrefix", ""))
                and key > fields.get("after", "")
            )
            page = [self.items[key] for key in keys[:MAX_ITEMS]]
            more = len(keys) > MAX_ITEMS
            return 200, {"items": page, "hasMore": more, "currentRev": self.revision}
        if path == "/kv-watch":
            after, end = int(fields["after"]), now() + int(fields["waitMs"]) / 1_000
            while self.revision <= after and now() < end:
                changed = self._changed
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), max(end - now(), 0.001))
            events = [e for e in self.events if e["revision"] > after]
            return 200, {"events": events, "currentRev": self.revision}
        return 404, {}


class Runner:
    """A runner of one service; each start is a new incarnation with a new identifier.

    ``decide`` is asked as the runner begins to write an answer; it returns None for a
    sound answer, or what happens instead: ``crash`` or a status.
    """

    count = 0

    def __init__(self, site, service: str, zone: str, *, slots: int = 6) -> None:
        Runner.count += 1
        self.site, self.service, self.zone, self.slots = site, service, zone, slots
        self.number = Runner.count
        self.starts = 0
        self.up = False
        # Bound but not listening: nothing else gets the port while the runner is away.
        self._reserved = socket.socket()
        self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved.bind(("127.0.0.1", 0))
        self.port = self._reserved.getsockname()[1]
        self.first_s = 0.08  # to the first token of an answer
        self.events, self.gap_s = 6, 0.02
        self.ends_by_close = False  # streams have neither a length nor chunks
        self.decide = lambda runner, head: None
        self.before = lambda runner, head: None  # asked as the request arrives
        self.back_s = 3.0
        self.notices: list[tuple[str, str]] = []
        self.running = 0
        self.queued = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._free = asyncio.Condition()

    async def start(self) -> None:
        """Begin a new incarnation."""
        self.starts += 1
        self.id = f"i-{self.number:02d}{self.starts:02d}{os.urandom(2).hex()}"
        self.born = int(time.time() * 1_000)
        self.running = self.queued = 0
        self._free = asyncio.Condition()
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True
        )
        self.up = True
        self.site.record.add("runner-start", self.id, self.service)
        self.register()

    def register(self, state: str = "ready") -> None:
        """Write this incarnation to the store."""
        self.site.store.put(f"servers/{self.id}", self.entry(state))

    def entry(self, state: str) -> dict:
        """Return what the runner says of itself."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.starts,
            "born": self.born,
        }

    def crash(self, why: str) -> None:
        """End without a word, and come back after some seconds."""
        if not self.up:
            return
        self.up = False
        self.site.record.add("runner-crash", self.id, why)
        self._server.close()
        for writer in tuple(self._writers):
            reset(writer)
        self.site.spawn(self._expire(self.id))
        self.site.spawn(self._return())

    async def _expire(self, name: str) -> None:
        await asyncio.sleep(HEARTBEAT_S * SILENT_HEARTBEATS)
        self.site.store.remove(f"servers/{name}")

    async def _return(self) -> None:
        await asyncio.sleep(self.back_s)
        await self.start()

    async def _serve(self, reader, writer) -> None:
        me = self.id
        self._writers.add(writer)
        try:
            while self.up and me == self.id:
                head = await read_head(reader)
                if head is None:
                    break
                length = int(head.header("content-length") or 0)
                if length:
                    await reader.readexactly(length)
                if not await self._answer(head, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head: Message, writer) -> bool:
        """Answer one request; return whether the channel is kept."""
        _, target, _ = head.first.split(" ")
        if target == "/health":
            headers = [("X-Nutmegslip-Instance-Id", self.id), ("Content-Length", "0")]
            writer.write(head_bytes(200, headers))
            return True
        name = head.header("x-nutmegslip-request-id")
        expected = head.header("x-nutmegslip-expect-instance")
        echo = [("X-Nutmegslip-Request-Id", name or ""), *self.notices]
        if name is None:
            writer.write(head_bytes(404, [("Content-Length", "0")]))
            return True
        if expected not in (None, self.id):
            echo.append(("X-Nutmegslip-Instance-Id", self.id))
            self.site.arrived(self, head, "421")
            writer.write(head_bytes(421, [*echo, ("Content-Length", "0")]))
            return True
        instead = self.before(self, head)
        if instead is not None:
            self.site.arrived(self, head, "rejected")
            writer.write(head_bytes(*instead(echo)))
            return True
        if self.running >= self.slots and self.queued >= 2 * self.slots:
            self.site.arrived(self, head, "full")
            full = [*echo, ("X-Nutmegslip-Not-Executed", "1"), ("Content-Length", "0")]
            writer.write(head_bytes(503, full))
            return True
        self.site.arrived(self, head, "taken")
        self.queued += 1
        async with self._free:
            while self.running >= self.slots:
                await self._free.wait()
            self.running += 1
        self.queued -= 1
        try:
            return await self._run(head, writer, echo, name)
        finally:
            self.running -= 1
            async with self._free:
                self._free.notify()

    async def _run(self, head: Message, writer, echo: list, name: str) -> bool:
        await asyncio.sleep(self.first_s)
        if writer.transport.is_closing():
            return False
        instead = self.decide(self, head)
        self.site.ran(self, head, instead or "sound")
        seal = ("X-Nutmegslip-Response-Seal", f"{self.id}.{name}")
        if instead == "crash":
            if self.ends_by_close:
                await self._break_off(writer, [*echo, seal], head, name)
            self.crash(name)
            return False
        if isinstance(instead, int):
            body = b"error"
            headers = [*echo, seal, ("Content-Length", str(len(body)))]
            writer.write(head_bytes(instead, headers) + body)
            return True
        if not self.events:
            body = f"answer to {name}".encode()
            headers = [*echo, seal, ("Content-Length", str(len(body)))]
            writer.write(head_bytes(200, headers) + body)
            return True
        writer.write(head_bytes(200, [*echo, seal, *self._stream_headers()]))
        after = int(head.header("last-event-id") or 0)
        for number in range(after + 1, self.events + 1):
            event = event_bytes(name, number)
            chunk = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event if self.ends_by_close else chunk)
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"" if self.ends_by_close else b"0\r\n\r\n")
        return not self.ends_by_close

    def _stream_headers(self) -> list[tuple[str, str]]:
        framing = ("Transfer-Encoding", "chunked")
        if self.ends_by_close:
            framing = ("Connection", "close")
        return [("Content-Type", "text/event-stream"), framing]

    async def _break_off(self, writer, headers: list, head: Message, name: str) -> None:
        """Begin an answer, and end its channel inside its next event."""
        after = int(head.header("last-event-id") or 0)
        event = event_bytes(name, after + 1)
        writer.write(head_bytes(200, [*headers, *self._stream_headers()]))
        writer.write(event[: len(event) // 2])
        await writer.drain()
        writer.close()
        self._writers.discard(writer)


def event_bytes(name: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {name} {number}\n\n".encode()


class Answer:
    """What a client got: status 0 for a closed channel."""

    def __init__(self) -> None:
        self.status = 0
        self.begun = False
        self.complete = False
        self.retry_after = 0.0
        self.body = b""


class Entry:
    """One real entry process."""

    def __init__(self, site, name: str, ip: str, zone: str) -> None:
        self.site, self.name, self.ip, self.zone = site, name, ip, zone
        self.file = site.folder / f"{name}.toml"
        self.process = None
        self.first = True
        self.started = 0.0

    def write_settings(self) -> None:
        """Write the settings as the deploy file's template gives them."""
        site = self.site
        ports = site.ports
        text = SETTINGS.format(
            name=self.name,
            zone=self.zone,
            ip=self.ip,
            store=site.store.address,
            first="first_start = true" if self.first else "",
            seeds=", ".join(f'"{ip}:{ports["control"]}"' for ip in site.seeds),
            zones=", ".join(f'"{zone}"' for zone in site.zones),
            **{k: ports[k] for k in ("callers", "ready", "peers", "metrics")},
        )
        self.file.write_text(text)

    async def start(self) -> None:
        """Start the process."""
        self.write_settings()
        self.first = False
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["NUTMEGSLIP_CONFIG"] = str(self.file)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self.site.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3", "platform/entry.py", cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self.started = now()
        self.site.record.add("entry-start", self.name, self.ip)

    async def wait_ready(self) -> None:
        """Wait until the readiness check is answered with 200."""
        end = now() + 20
        while now() < end:
            if await self.ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")

    async def ready(self) -> bool:
        """Return whether the readiness check is answered with 200."""
        head = await self.get(self.site.ports["ready"], "/readiness")
        return head is not None and " 200 " in head.first

    async def get(self, port: int, path: str) -> Message | None:
        """Return the head of the answer to a GET, None without one."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, port)
        except OSError:
            return None
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        head = await read_head(reader)
        writer.close()
        return head

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.site.record.add("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


class Site:
    """A small deployment; ``play`` runs a coroutine with it and cleans up."""

    def __init__(self, zones=("za", "zb", "zc"), entries: int = 3) -> None:
        self.record = Record()
        self.zones = zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="nutmegslip-case-"))
        base = 10 + os.getpid() % 200
        self.ips = [f"127.{base}.0.{n + 1}" for n in range(entries)]
        self.seeds = self.ips[:3]
        names = ("callers", "ready", "control", "metrics", "peers")
        self.ports: dict[str, int] = {}
        for name in names:
            port = free_port(*self.ips)
            while port in self.ports.values():
                port = free_port(*self.ips)
            self.ports[name] = port
        self.store = Store(self.record)
        self.entries = [
            Entry(self, f"entry-{n + 1}", ip, zones[n % len(zones)])
            for n, ip in enumerate(self.ips)
        ]
        self.runners: list[Runner] = []
        self.arrivals: list[tuple] = []
        self.runs: list[tuple] = []
        self.answers: dict[str, Answer] = {}
        self._tasks: set[asyncio.Task] = set()
        self._names = 0

    def spawn(self, work) -> asyncio.Task:
        """Run something beside the case until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def arrived(self, runner: Runner, head: Message, how: str) -> None:
        """Record a request that reached a runner."""
        name = head.header("x-nutmegslip-request-id")
        self.arrivals.append((now(), runner, name, head, how))
        self.record.add("at-runner", runner.id, name, how)

    def ran(self, runner: Runner, head: Message, how: object) -> None:
        """Record a request that a runner has run."""
        name = head.header("x-nutmegslip-request-id")
        self.runs.append((now(), runner, name, head, how))
        self.record.add("run", runner.id, name, how)

    def new_id(self) -> str:
        """Return an id for a request."""
        self._names += 1
        return f"{os.urandom(4).hex()}{self._names:06x}"

    async def add_runner(self, service: str, zone: str, **fields) -> Runner:
        """Start one more runner."""
        runner = Runner(self, service, zone, **fields)
        await runner.start()
        self.runners.append(runner)
        return runner

    async def ask(
        self,
        entry: Entry,
        method: str,
        path: str,
        *,
        key: str,
        timeout_s: float,
        name: str,
        headers: list[tuple[str, str]] = (),
        body: bytes = b"",
        label: str = "",
    ) -> Answer:
        """Send one request on a new channel, and read its answer."""
        answer = self.answers[name] = Answer()
        self.record.add("sent", name, entry.name, method, path, label)
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange(
                    answer, entry, method, path, key, timeout_s, name, headers, body
                )
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            pass
        end = "complete" if answer.complete else "incomplete"
        self.record.add("answered", name, answer.status, end, label)
        return answer

    async def _exchange(
        self, answer, entry, method, path, key, timeout_s, name, headers, body
    ) -> None:
        reader, writer = await asyncio.open_connection(entry.ip, self.ports["callers"])
        try:
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {HOST}",
                f"X-Nutmegslip-Request-Id: {name}",
                f"X-Nutmegslip-Deadline-Ms: {int(timeout_s * 1_000)}",
                f"X-Nutmegslip-Key: {key}",
                *(f"{n}: {v}" for n, v in headers),
            ]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(reader)
            if head is None:
                return
            answer.status = int(head.first.split(" ")[1])
            answer.retry_after = float(head.header("retry-after") or 0)
            if "chunked" in (head.header("transfer-encoding") or ""):
                while size := int((await reader.readline()).strip() or b"x", 16):
                    answer.body += await reader.readexactly(size)
                    answer.begun = True
                    await reader.readexactly(2)
                answer.complete = True
            elif head.header("content-length") is None:
                answer.body = await reader.read()
                answer.begun = answer.complete = True
            else:
                length = int(head.header("content-length") or 0)
                answer.body = await reader.readexactly(length)
                answer.begun = answer.complete = True
        except ValueError:
            pass  # the stream broke off
        finally:
            writer.close()

    async def close(self) -> None:
        """End all that was started."""
        for task in tuple(self._tasks):
            task.cancel()
        for entry in self.entries:
            await entry.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(folder: pathlib.Path, case, **fields) -> None:
    """Run ``case(site)``; exit 1 if it returns True, 0 if False, 2 on an error."""

    async def run() -> bool:
        """Run."""
        site = Site(**fields)
        try:
            async with asyncio.timeout(115):
                await site.store.start()
                return await case(site)
        finally:
            await site.close()
            site.record.write(folder)

    # Channels that are open at the end complain once the event loop is closed.
    sys.unraisablehook = lambda _: None
    try:
        broken = asyncio.run(run())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)


def route(name: str, service: str, kind: str, **fields) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 8_000,
        "latencyTargetMs": 402,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": False,
    } | fields


def configuration(routes: list[dict], services: list[str], tenants: int = 3) -> dict:
    """Return a configuration as the operator writes it."""
    return {
        "version": 7,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "connectionLimit": 278,
                "protocol": "h1",
                "tls": False,
                "coldS": 0.0,
                "coldPerS": 0.0,
            }
            for name in services
        ],
        "limits": {
            "headerBytes": 16_384,
            "bodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [
            {"name": f"tenant-{n}", "apiKeys": [f"key-{n}"], "priority": 1}
            for n in range(tenants)
        ],
    }
