"""Run a real entry on the platform's path, before stand-ins in this process."""

import pathlib
import tempfile

from gevent import socket

from bench.entry_process import EntryProcess, Reply, exchange
from fakes.runners import Runner
from fakes.store import StoreServer

KEY = "key-1"
HOST = b"hymns.example"


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
        self._ids = 0
        folder = pathlib.Path(self._folder.name)
        self.entry = EntryProcess(folder, "entry-1", self.store.address)

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
        entry = self.runners[name].registration(service, **fields)
        self.store.history.put(f"servers/{name}", entry)

    def start(self) -> None:
        """Start the entry and wait until it says that it is ready."""
        self.entry.start()
        self.entry.wait_ready()

    def metrics(self) -> str:
        """Return the page of metrics."""
        return self.entry.get(self.entry.ports.metrics, b"/metrics").body.decode()

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
        channel = self.entry.connect()
        reply = exchange(channel, method.encode(), target.encode(), fields, body)
        channel.close()
        return reply

    def fields(self, request_id: str = "", key: str | None = KEY) -> list:
        """Return the headers of a caller's request."""
        self._ids += 1
        return caller_fields(request_id or f"request-{self._ids}", key)

    def raw(self, data: bytes) -> bytes:
        """Send bytes; return all that comes until the entry closes."""
        address = (self.entry.ip, self.entry.ports.callers)
        sock = socket.create_connection(address, 2.0)
        sock.settimeout(4.0)
        sock.sendall(data)
        found = b""
        while part := sock.recv(65_536):
            found += part
        sock.close()
        return found

    def close(self) -> None:
        """End everything that this site started."""
        self.entry.end()
        for runner in self.runners.values():
            runner.close()
        self.store.close()
        self._folder.cleanup()


def caller_fields(request_id: str, key: str | None = KEY) -> list:
    """Return the headers of a caller's request."""
    known = [] if key is None else [(b"X-Nutmegslip-Key", key.encode())]
    return [
        (b"Host", HOST),
        (b"X-Nutmegslip-Request-Id", request_id.encode()),
        (b"X-Nutmegslip-Deadline-Ms", b"3000"),
        *known,
    ]
