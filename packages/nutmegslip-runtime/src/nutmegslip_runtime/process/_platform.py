"""Read the platform's configuration service and list of hosts."""

from collections.abc import Callable

import gevent
from expression import Error, Ok, Result
from geventhttpclient import HTTPClient

from nutmegslip_decisions.configuration import ReadService, Source

CONNECT_TIMEOUT_S = 1
READ_TIMEOUT_MS = 2_500  # in addition to the wait that a read requests
CONCURRENT_READS = 4

_PATHS = {Source.CATALOGUE: "/v1/changes", Source.HOSTS: "/v1/hosts"}


class PlatformReader:
    """A client of the platform; every read ends with one call of ``on_done``."""

    def __init__(
        self, address: str, on_done: Callable[[Source, Result[bytes, str]], None]
    ) -> None:
        self._ip, _, port = address.rpartition(":")
        self._port = int(port)
        self._on_done = on_done

    def read(self, request: ReadService) -> None:
        """Start a read in the background."""
        gevent.spawn(self._read_now, request)

    def _read_now(self, request: ReadService) -> None:
        self._on_done(request.source, self._fetch(request))

    def _fetch(self, request: ReadService) -> Result[bytes, str]:
        wait_s = (request.wait_ms + READ_TIMEOUT_MS) / 1_000
        client = HTTPClient(
            self._ip,
            self._port,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=wait_s,
        )
        query = f"?after={request.after}&wait_ms={request.wait_ms}"
        try:
            with gevent.Timeout(wait_s):
                response = client.get(_PATHS[request.source] + query)
                body = bytes(response.read())
        except (Exception, gevent.Timeout) as error:
            # The client raises its own types on truncated or malformed responses.
            return Error(type(error).__name__)
        finally:
            client.close()
        if response.status_code != 200:
            return Error(f"status {response.status_code}")
        return Ok(body)
