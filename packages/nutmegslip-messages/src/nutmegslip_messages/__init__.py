"""Encode and decode the typed messages between the processes."""

from nutmegslip_messages._calls import ServiceCall, decode_call, encode_call
from nutmegslip_messages._codec import (
    MAX_FRAME_BYTES,
    Codec,
    DecodeError,
    DecodeErrorKind,
)
from nutmegslip_messages._handshake import (
    HANDSHAKE_MESSAGES,
    PROTOCOL_VERSION,
    Challenge,
    HandshakeError,
    HandshakeErrorKind,
    Hello,
    Welcome,
    answer_challenge,
    check_hello,
    check_welcome,
    make_welcome,
)

__all__ = [
    "HANDSHAKE_MESSAGES",
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "Challenge",
    "Codec",
    "DecodeError",
    "DecodeErrorKind",
    "HandshakeError",
    "HandshakeErrorKind",
    "Hello",
    "ServiceCall",
    "Welcome",
    "answer_challenge",
    "check_hello",
    "check_welcome",
    "decode_call",
    "encode_call",
    "make_welcome",
]
