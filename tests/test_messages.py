"""Test the codec and the handshake against hostile input."""

import unittest

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from nutmegslip_decisions.work import MESSAGES, Pieces, RefusalKind, Refused, Submit
from nutmegslip_messages import (
    HANDSHAKE_MESSAGES,
    PROTOCOL_VERSION,
    Challenge,
    Codec,
    DecodeErrorKind,
    HandshakeErrorKind,
    answer_challenge,
    check_hello,
    check_welcome,
    make_welcome,
)

CODEC = Codec((*HANDSHAKE_MESSAGES, *MESSAGES))
SUBMIT = Submit("a", "verses", "choir", "POST", "/v1", b"{}", True, 1, 500)
HOSTILE_FRAMES = {
    "empty": (b"", DecodeErrorKind.NOT_CBOR),
    "truncated": (CODEC.encode(SUBMIT)[:-3], DecodeErrorKind.NOT_CBOR),
    "bytes after": (CODEC.encode(SUBMIT) + b"\x00", DecodeErrorKind.UNKNOWN_NAME),
    "deep": (b"\x81" * 100_000 + b"\x00", DecodeErrorKind.NOT_CBOR),
    "huge length": (b"\x9b" + b"\xff" * 8, DecodeErrorKind.NOT_CBOR),
    "too large": (b"\x00" * (5 * 1024 * 1024), DecodeErrorKind.TOO_LARGE),
    "no name": (cbor2.dumps({"a": 1}), DecodeErrorKind.UNKNOWN_NAME),
    "other name": (cbor2.dumps(["Object", []]), DecodeErrorKind.UNKNOWN_NAME),
    "few fields": (cbor2.dumps(["Cancel", []]), DecodeErrorKind.BAD_FIELDS),
    "wrong type": (cbor2.dumps(["Cancel", [[7]]]), DecodeErrorKind.BAD_FIELDS),
    "bad enum": (cbor2.dumps(["Refused", ["a", "no", 1]]), DecodeErrorKind.BAD_FIELDS),
}


class CodecTests(unittest.TestCase):
    def test_messages_return_as_sent(self) -> None:
        sent = (
            SUBMIT,
            Pieces("a", 3, (b"x", b"y")),
            Refused("a", RefusalKind.COLD, 20),
            Challenge(PROTOCOL_VERSION, b"n"),
        )
        for message in sent:
            with self.subTest(message=message):
                self.assertEqual(CODEC.decode(CODEC.encode(message)).ok, message)

    def test_hostile_frames_are_errors(self) -> None:
        for name, (frame, kind) in HOSTILE_FRAMES.items():
            with self.subTest(name):
                self.assertEqual(CODEC.decode(frame).error.kind, kind)

    @given(st.binary(max_size=200))
    def test_any_bytes_give_a_result(self, frame: bytes) -> None:
        result = CODEC.decode(frame)
        self.assertTrue(result.is_ok() or result.error.message)


class HandshakeTests(unittest.TestCase):
    def test_only_the_shared_key_is_accepted(self) -> None:
        challenge = Challenge(PROTOCOL_VERSION, b"c" * 16)
        for dial_key, listen_key, accepted in (
            (b"k", b"k", True),
            (b"k", b"other", False),
        ):
            hello = answer_challenge(challenge, dial_key, "h", "1", b"n" * 16).ok
            answer = make_welcome(hello, challenge, listen_key, "s", "2")
            with self.subTest(accepted=accepted):
                checked = check_hello(hello, challenge, listen_key)
                self.assertEqual(checked.is_ok(), accepted)
                self.assertEqual(
                    check_welcome(answer, hello, challenge, dial_key).is_ok(), accepted
                )

    def test_another_version_is_an_error(self) -> None:
        result = answer_challenge(Challenge(9, b""), b"k", "h", "1", b"")
        self.assertEqual(result.error.kind, HandshakeErrorKind.OTHER_VERSION)
