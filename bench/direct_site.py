"""Run a real entry of the platform against fakes in this process."""

import pathlib
import tempfile

from gevent import socket

from bench.entry_process import EntryProcess, HostLimits, Reply, exchange
from fakes.runners import Runner
from fakes.store import StoreServer

API_KEY = "key-1"
HOST = b"hymns.example"


def make_route(name: str, service: str, kind: str, **fields: object) -> dict:
    """Return a route as the operator publishes it."""
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


def make_configuration(version: int, *routes: dict, **fields: object) -> dict:
    """Return a configuration as the operator publishes it."""
    default_routes = (
        make_route("lookups", "board", "idempotent"),
        make_route("pushes", "board", "non_idempotent", attempts=1),
        make_route("verses", "model", "streaming", resumable=True, gapTargetMs=120),
        make_route("open", "board", "idempotent", public=True),
    )
    return {
        "version": version,
        "routes": list(routes or default_routes),
        "services": [{"name": "board"}, {"name": "model", "coldPerS": 28.0}],
        "limits": {
            "headerBytes": 4_096,
            "bodyBytes": 65_536,
            "headerTimeoutMs": 300,
            "idleTimeoutMs": 5_000,
        },
        "tenants": [{"name": "parish", "apiKeys": [API_KEY], "priority": 1}],
    } | fields


class Site:
    """One entry process with a fake store and fake runners."""

    def __init__(self, host_limits: HostLimits | None = None) -> None:
        self.store = StoreServer()
        self.runners: dict[str, Runner] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._request_count = 0
        folder = pathlib.Path(self._folder.name)
        self.entry = EntryProcess(
            folder, "entry-1", self.store.address, host_limits=host_limits
        )

    def publish(self, configuration: dict) -> None:
        """Write a configuration to the store, as the operator does."""
        self.store.history.put("op/config", configuration)

    def add_runner(
        self, name: str, service: str, *, events: int = 0, **fields
    ) -> Runner:
        """Start a runner and register it in the store."""
        runner = self.runners[name] = Runner(name, events=events)
        self.register_runner(name, service, **fields)
        return runner

    def register_runner(self, name: str, service: str, **fields: object) -> None:
        """Write a runner's record to the store."""
        record = self.runners[name].registration(service, **fields)
        self.store.history.put(f"servers/{name}", record)

    def start(self) -> None:
        """Start the entry and wait until it reports that it is ready."""
        self.entry.start()
        self.entry.wait_ready()

    def metrics(self) -> str:
        """Return the metrics page."""
        return self.entry.get(self.entry.ports.metrics, b"/metrics").body.decode()

    def send(
        self,
        target: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        key: str | None = API_KEY,
        request_id: str = "",
    ) -> Reply:
        """Send a caller's request on a new connection; return the reply."""
        all_headers = self.request_headers(request_id, key) + list(headers)
        connection = self.entry.connect()
        reply = exchange(
            connection, method.encode(), target.encode(), all_headers, body
        )
        connection.close()
        return reply

    def request_headers(self, request_id: str = "", key: str | None = API_KEY) -> list:
        """Return the headers of a caller's request."""
        self._request_count += 1
        return caller_headers(request_id or f"request-{self._request_count}", key)

    def send_raw(self, data: bytes) -> bytes:
        """Send bytes; return everything received until the entry closes."""
        address = (self.entry.ip, self.entry.ports.callers)
        sock = socket.create_connection(address, 2.0)
        sock.settimeout(4.0)
        sock.sendall(data)
        received = b""
        while part := sock.recv(65_536):
            received += part
        sock.close()
        return received

    def close(self) -> None:
        """Stop everything that this site started."""
        self.entry.close()
        for runner in self.runners.values():
            runner.close()
        self.store.close()
        self._folder.cleanup()


def caller_headers(request_id: str, key: str | None = API_KEY) -> list:
    """Return the headers of a caller's request."""
    key_headers = [] if key is None else [(b"X-Nutmegslip-Key", key.encode())]
    return [
        (b"Host", HOST),
        (b"X-Nutmegslip-Request-Id", request_id.encode()),
        (b"X-Nutmegslip-Deadline-Ms", b"3000"),
        *key_headers,
    ]
