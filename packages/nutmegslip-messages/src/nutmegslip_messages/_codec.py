"""Encode dataclass messages as CBOR arrays of a name and a list of fields."""

import io
from collections.abc import Iterable
from dataclasses import dataclass, fields, is_dataclass
from enum import StrEnum
from typing import Any

import cbor2
from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

MAX_FRAME_BYTES = 4 * 1024 * 1024  # values published by the platform are at most 1 MB


_PLAIN_TYPES = frozenset({bool, bytes, float, int, str, type(None)})


class DecodeErrorKind(StrEnum):
    """The reasons why a received frame cannot be decoded."""

    TOO_LARGE = "frame-too-large"
    NOT_CBOR = "frame-not-cbor"
    UNKNOWN_NAME = "frame-unknown-message"
    BAD_FIELDS = "frame-bad-fields"


@dataclass(frozen=True, slots=True)
class DecodeError:
    """A frame that cannot be decoded; its link is closed."""

    kind: DecodeErrorKind
    detail: str

    @property
    def message(self) -> str:
        """Return the error with its remedy."""
        return (
            f"{self.kind}: {self.detail}. Run the same release on both hosts; "
            "if the error persists, take the sending host out."
        )


class Codec:
    """Encode and decode a fixed set of message classes."""

    def __init__(self, classes: Iterable[type]) -> None:
        self._classes = {cls.__name__: cls for cls in classes}
        self._fields = {
            cls: tuple(field.name for field in fields(cls))
            for cls in self._classes.values()
        }
        self._adapters = {cls: TypeAdapter(cls) for cls in self._classes.values()}

    def encode(self, message: object) -> bytes:
        """Return the CBOR frame of a message."""
        values = [
            _plain(getattr(message, name)) for name in self._fields[type(message)]
        ]
        return cbor2.dumps([type(message).__name__, values])

    def decode(self, frame: bytes) -> Result[Any, DecodeError]:
        """Return the message of a frame, or an error unless it holds exactly one."""
        messages = self.decode_all(frame)
        if messages.is_ok() and len(messages.ok) != 1:
            return _error(DecodeErrorKind.NOT_CBOR, "not exactly one message")
        return messages.map(lambda found: found[0])

    def decode_all(self, frame: bytes) -> Result[list[Any], DecodeError]:
        """Return the messages of a frame, in order, or the first error."""
        if len(frame) > MAX_FRAME_BYTES:
            return _error(DecodeErrorKind.TOO_LARGE, f"{len(frame)} bytes")
        source = io.BytesIO(frame)
        messages: list[Any] = []
        while source.tell() < len(frame):
            try:
                content = cbor2.load(source)
            except Exception as error:
                # cbor2 raises many exception types on hostile input.
                return _error(DecodeErrorKind.NOT_CBOR, type(error).__name__)
            try:
                messages.append(self._message(content))
            except _MalformedError as error:
                return _error(error.kind, error.detail)
        return Ok(messages)

    def _message(self, content: object) -> Any:
        # A Result for each message would cost more than validating it.
        match content:
            case [str(name), [*values]] if name in self._classes:
                cls = self._classes[name]
            case _:
                detail = "unknown message name"
                raise _MalformedError(DecodeErrorKind.UNKNOWN_NAME, detail)
        names = self._fields[cls]
        if len(values) != len(names):
            detail = f"{name} has the wrong number of fields"
            raise _MalformedError(DecodeErrorKind.BAD_FIELDS, detail)
        try:
            named = dict(zip(names, values, strict=True))
            return self._adapters[cls].validate_python(named)
        except ValidationError as error:
            first = error.errors(include_url=False, include_input=False)[0]
            detail = f"{name} {first['loc']}: {first['msg']}"
            raise _MalformedError(DecodeErrorKind.BAD_FIELDS, detail) from error


class _MalformedError(Exception):
    """Content that is not a message; not raised outside this module."""

    def __init__(self, kind: DecodeErrorKind, detail: str) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail


def _plain(value: object) -> object:
    if type(value) in _PLAIN_TYPES:
        return value
    if is_dataclass(value):
        return {
            field.name: _plain(getattr(value, field.name)) for field in fields(value)
        }
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {name: _plain(item) for name, item in value._asdict().items()}
    if isinstance(value, tuple | list | frozenset):
        return [_plain(item) for item in value]
    if isinstance(value, StrEnum):
        return value.value
    return value


def _error(kind: DecodeErrorKind, detail: str) -> Result[Any, DecodeError]:
    return Error(DecodeError(kind, detail))
