"""Speak HTTP/1.1 over gevent sockets; httptools does the parsing."""

from nutmegslip_runtime.http1._answers import (
    LAST_CHUNK,
    Framing,
    Header,
    encode_chunk,
    encode_head,
    encode_request,
    end_to_end,
)
from nutmegslip_runtime.http1._channel import (
    Answer,
    Channel,
    ChannelBroken,
    ChannelSilent,
    NotConnected,
)
from nutmegslip_runtime.http1._requests import (
    HttpRequest,
    RequestFault,
    RequestReader,
)
from nutmegslip_runtime.http1._sockets import prepare, reset_on_close

__all__ = [
    "LAST_CHUNK",
    "Answer",
    "Channel",
    "ChannelBroken",
    "ChannelSilent",
    "Framing",
    "Header",
    "HttpRequest",
    "NotConnected",
    "RequestFault",
    "RequestReader",
    "encode_chunk",
    "encode_head",
    "encode_request",
    "end_to_end",
    "prepare",
    "reset_on_close",
]
