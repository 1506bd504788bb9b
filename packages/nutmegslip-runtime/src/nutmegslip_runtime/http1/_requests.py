"""Parse requests from the bytes of a connection, within size limits."""

from collections import deque
from dataclasses import dataclass, field

import httptools

from nutmegslip_runtime.http1._encoding import Header

HEADER_OVERHEAD_BYTES = 4  # colon, space and line end of a header line
HEADER_OBJECT_BYTES = 176  # of a header's name, value and pair
REQUEST_OBJECT_BYTES = 1_024  # of a request without its headers and its body
MAX_PIPELINED_REQUESTS = 16  # that wait for the answers to earlier ones
CHUNK_OVERHEAD_BYTES = 20  # a length of 16 digits and two line ends


class RequestFault(Exception):  # noqa: N818
    """A request that cannot be served; respond with ``status`` and close."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


@dataclass(slots=True)
class HttpRequest:
    """One request; ``target`` is as sent, ``keep_alive`` as the caller requests."""

    method: bytes = b""
    target: bytes = b""
    headers: list[Header] = field(default_factory=list)
    body: bytes | bytearray = b""
    version: str = "1.1"
    keep_alive: bool = True
    head_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        """Return about what the request takes in memory."""
        objects = REQUEST_OBJECT_BYTES + HEADER_OBJECT_BYTES * len(self.headers)
        return objects + self.head_bytes + len(self.body)

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of a lower-case name."""
        return next((v for n, v in self.headers if n.lower() == name), None)


class RequestReader:
    """A parser that collects complete requests.

    ``receiving`` is true while a request is incomplete, ``in_head`` while its head is.
    ``header_bytes`` and ``body_bytes`` are the limits of the requests that follow.
    """

    def __init__(self, header_bytes: int, body_bytes: int) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self._max_header_bytes = header_bytes
        self._max_body_bytes = body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._complete: deque[HttpRequest] = deque()
        self._request = HttpRequest()
        self._body = bytearray()
        self._body_pieces = 0
        self._fault: RequestFault | None = None
        self.in_head = False
        self._received_bytes = 0  # since the last complete request
        self.receiving = False
        self.expects_continue = False

    def feed(self, data: bytes) -> None:
        """Parse bytes; raise RequestFault if they are not a valid request."""
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise RequestFault(400, "upgrades are not supported") from error
        except httptools.HttpParserError as error:
            raise self._fault or RequestFault(400, str(error)) from error
        # The parser reports complete headers only; this also limits an incomplete one.
        if self.in_head and self._received_bytes > self._max_header_bytes:
            raise RequestFault(431, "the head exceeds the size limit")
        if self._received_bytes - len(self._body) > self._max_framing_bytes:
            raise RequestFault(400, "the framing of the body exceeds the size limit")

    @property
    def is_unfinished(self) -> bool:
        """Return whether a request is incomplete, and none waits to be served."""
        return self.receiving and not self._complete

    @property
    def held_bytes(self) -> int:
        """Return about what the unfinished and the waiting requests take in memory."""
        waiting = sum(request.held_bytes for request in self._complete)
        if not self.receiving:
            return waiting
        return waiting + self._request.held_bytes + len(self._body)

    @property
    def _max_framing_bytes(self) -> int:
        """Return how much of a request may be neither its body nor needed for it.

        A head and trailers may be of full size. The parser drops chunk extensions, and
        reports a trailer only once it is complete.
        """
        return 2 * self._max_header_bytes + CHUNK_OVERHEAD_BYTES * self._body_pieces

    def next_request(self) -> HttpRequest | None:
        """Return the oldest complete request, or None."""
        return self._complete.popleft() if self._complete else None

    def drop(self) -> None:
        """Drop all requests; the reader must not be fed again."""
        self._complete.clear()
        self._request, self._body = HttpRequest(), bytearray()
        self.receiving = False

    def on_message_begin(self) -> None:
        """Begin a request (called by the parser)."""
        self._request = HttpRequest()
        self._max_header_bytes = self.header_bytes
        self._body = bytearray()
        self._body_pieces = 0
        self.in_head = True
        self.receiving = True

    def on_url(self, url: bytes) -> None:
        """Store a part of the target (called by the parser)."""
        self._request.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header, but no trailer (called by the parser)."""
        self._count_head(len(name) + len(value) + HEADER_OVERHEAD_BYTES)
        if self.in_head:
            self._request.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head (called by the parser)."""
        self.in_head = False
        self._max_body_bytes = self.body_bytes
        request = self._request
        request.method = self._parser.get_method()
        request.version = self._parser.get_http_version()
        request.keep_alive = self._parser.should_keep_alive()
        length = request.header(b"content-length") or b"0"
        if length.isdigit() and int(length) > self._max_body_bytes:
            self._refuse(413, "the body exceeds the size limit")
        expect = request.header(b"expect")
        self.expects_continue = expect is not None and b"100-continue" in expect.lower()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body (called by the parser)."""
        self._body += body
        self._body_pieces += 1
        if len(self._body) > self._max_body_bytes:
            self._refuse(413, "the body exceeds the size limit")

    def on_message_complete(self) -> None:
        """Store the complete request (called by the parser)."""
        self._request.body = self._body
        if len(self._complete) > MAX_PIPELINED_REQUESTS:
            self._refuse(429, "too many requests wait for the answer to another")
        self._complete.append(self._request)
        # An idle connection keeps nothing of its last request.
        self._request, self._body = HttpRequest(), bytearray()
        self.receiving = False
        self.expects_continue = False
        self._received_bytes = 0

    def _count_head(self, size: int) -> None:
        self._request.head_bytes += size
        if self._request.head_bytes > self._max_header_bytes:
            self._refuse(431, "the head exceeds the size limit")

    def _refuse(self, status: int, detail: str) -> None:
        self._fault = RequestFault(status, detail)
        raise self._fault
