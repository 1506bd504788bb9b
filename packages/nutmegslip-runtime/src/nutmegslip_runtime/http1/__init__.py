"""Read and write HTTP/1.1 over gevent sockets; httptools parses it."""

from nutmegslip_runtime.http1._connection import (
    BodyTooLong,
    ClientConnection,
    ConnectionBroken,
    ConnectionClosed,
    ConnectionRefused,
    ConnectionTimedOut,
    NotConnected,
    ResponseHead,
)
from nutmegslip_runtime.http1._encoding import (
    LAST_CHUNK,
    Framing,
    Header,
    encode_chunk,
    encode_head,
    encode_request,
    encode_request_head,
    end_to_end_headers,
)
from nutmegslip_runtime.http1._held_bodies import HeldBodies, HeldBytes
from nutmegslip_runtime.http1._requests import (
    HttpRequest,
    RequestFault,
    RequestReader,
)
from nutmegslip_runtime.http1._sockets import (
    configure_socket,
    reset_on_close,
    send_all,
)

__all__ = [
    "LAST_CHUNK",
    "BodyTooLong",
    "ClientConnection",
    "ConnectionBroken",
    "ConnectionClosed",
    "ConnectionRefused",
    "ConnectionTimedOut",
    "Framing",
    "Header",
    "HeldBodies",
    "HeldBytes",
    "HttpRequest",
    "NotConnected",
    "RequestFault",
    "RequestReader",
    "ResponseHead",
    "configure_socket",
    "encode_chunk",
    "encode_head",
    "encode_request",
    "encode_request_head",
    "end_to_end_headers",
    "reset_on_close",
    "send_all",
]
