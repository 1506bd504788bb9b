"""Test that a value of the store that cannot be read costs that value alone."""

import base64
import json
import unittest
from types import SimpleNamespace

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st
from nutmegslip_platform._decode import decode_configuration, decode_upstream
from nutmegslip_platform._feed import StoreFeed
from nutmegslip_platform._json import decode_json
from nutmegslip_platform._wire import WireCounts, WireEvents, WireLists, WireReport

from fakes.runners import Runner
from fakes.store import StoreServer
from nutmegslip_decisions.direct import ListingRead, Send, UpstreamPublished
from tests.direct_world import World

ADDRESS = SimpleNamespace(address="127.0.0.1:9000")
DEEP = b"[" * 2_000 + b"]" * 2_000
DIGITS = b"9" * 5_000

GROUP = {"name": "g", "epoch": 1, "rank": 0, "state": "open"}
RECORD = Runner.registration(ADDRESS, "board", group=GROUP, size=1)

# Each is put in the place of a field's value, as JSON text.
ODD_VALUES = (
    DEEP,
    b'{"a":' * 1_500 + b"1" + b"}" * 1_500,
    DIGITS,
    b"-" + DIGITS,
    b"9" * 310,
    b"1e999",
    b"-1",
    b"0.5",
    b"NaN",
    b"Infinity",
    b"true",
    b"null",
    b'""',
    b'"127.0.0.1:' + DIGITS + b'"',
    b'"127.0.0.1:99999"',
    b'"127.0.0.1:-1"',
    b'"127.0.0.1:0"',
    b'":80"',
    b'"0.0.0.0:80"',
    b'"224.0.0.1:80"',
    b'"[::]:80"',
    b'"127.0.0.1]:80"',
    b'"example.org:80"',
    b'"127.0.0.1\\r\\nx: y:80"',
    b'"\\ud800"',
    b'"' + b"x" * 900_000 + b'"',
    '"١٢٧:٨٠"'.encode(),
    b'"\xff"',
    b"[]",
    b"{}",
)
ODD_IDS = ("", "a b", "a\r\nx: y", "Ω", "x" * 300, "\x00")


def item(key: str, raw: bytes, revision: int = 1) -> dict:
    """Return an item of the store."""
    return {
        "key": key,
        "value": base64.b64encode(raw).decode(),
        "revision": revision,
    }


def with_field(name: str, odd: bytes) -> bytes:
    """Return a registration in which one field has an odd value, as JSON text."""
    marked = json.dumps(RECORD | {name: "MARK"}).encode()
    return marked.replace(b'"MARK"', odd)


def odd_registrations():
    """Yield registrations with one odd or missing field, or that are none at all."""
    for name in RECORD:
        for odd in ODD_VALUES:
            yield f"{name}={odd[:12]!r}", with_field(name, odd)
        missing = {field: value for field, value in RECORD.items() if field != name}
        yield f"no {name}", json.dumps(missing).encode()
    for raw in (b"", b"\xff\x00", DEEP, DIGITS, b"null", b"[]", b'"x"', b"{"):
        yield f"{raw[:12]!r}", raw


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


class Fed:
    """An entry that follows items of a store."""

    def __init__(self) -> None:
        self.world = World()
        self.lines = []
        log = SimpleNamespace(emit=lambda *line, **fields: self.lines.append(line))
        self.feed = StoreFeed("127.0.0.1:1", self.world.take, log)

    def used(self) -> set[str]:
        """Return the ids of the upstreams that requests are sent to."""
        sent = [effect for _ in range(4) for effect in self.world.arrive()]
        return {effect.upstream.id for effect in sent if isinstance(effect, Send)}


class OddEntryTests(unittest.TestCase):
    """Guard against an entry of another writer that ends the reading of the store.

    One that was nested deeper than the decoder goes stopped all processes from
    following zones and servers for as long as it stood.
    """

    def _check(self, key: str, raw: bytes) -> None:
        sound = item("servers/sound", json.dumps(RECORD).encode())
        odd = item(key, raw)
        listed, watched = Fed(), Fed()
        listed.feed._apply_listing([odd, sound, item("op/evacuate/z", b"{}")])
        for changed in (odd, sound, item("op/evacuate/z", b"{}")):
            watched.feed._apply_change(changed)
        watched.feed._apply_change(odd | {"revision": 2})
        for fed in (listed, watched):
            self.assertIn("sound", fed.world.state.upstreams)
            self.assertEqual(fed.world.state.zones_out, frozenset("z"))
            self.assertIn("sound", fed.used())

    def test_odd_entries_cost_themselves_alone(self):
        for name, raw in odd_registrations():
            with self.subTest(name):
                self._check("servers/odd", raw)

    def test_ids_that_fit_no_header_name_no_upstream(self):
        for name in ODD_IDS:
            with self.subTest(name=name):
                raw = json.dumps(RECORD).encode()
                self._check(f"servers/{name}", raw)
                fed = Fed()
                fed.feed._apply_change(item(f"servers/{name}", raw))
                self.assertEqual(fed.used(), set())

    def test_a_field_of_another_type_names_no_upstream(self):
        for name in ("service", "address", "zone", "version", "slots", "state"):
            for odd in (b"null", b"[]", b"0.5", DEEP):
                with self.subTest(name=name, odd=odd[:8]):
                    found = decode_upstream(
                        "u", item("servers/u", with_field(name, odd))
                    )
                    self.assertTrue(found.is_error())

    @settings(max_examples=300)
    @given(st.sampled_from(sorted(RECORD)), json_values)
    def test_drawn_values_of_a_field(self, name, value):
        self._check("servers/odd", json.dumps(RECORD | {name: value}).encode())

    @settings(max_examples=200)
    @given(st.data())
    def test_drawn_bytes_in_a_registration(self, data):
        raw = bytearray(json.dumps(RECORD).encode())
        for _ in range(data.draw(st.integers(1, 6))):
            start = data.draw(st.integers(0, len(raw)))
            end = data.draw(st.integers(start, min(start + 9, len(raw))))
            raw[start:end] = data.draw(st.binary(max_size=9))
        self._check("servers/odd", bytes(raw))

    def test_the_reason_in_the_log_is_short(self):
        for name, raw in odd_registrations():
            with self.subTest(name):
                found = decode_upstream("u", item("servers/u", raw))
                if found.is_error():
                    self.assertLess(len(found.error), 400)


class OddAnswerTests(unittest.TestCase):
    """Guard against an answer of the store, or of a rank, that ends its reader."""

    def test_no_bytes_raise_an_error(self):
        for wire_type in (WireEvents, WireReport, WireCounts, WireLists):
            for raw in (b"", DEEP, DIGITS, b'{"events":' + DEEP, b"\xff", b"null"):
                with self.subTest(wire_type=wire_type.__name__, raw=raw[:12]):
                    self.assertTrue(decode_json(raw, wire_type).is_error())

    def test_no_configuration_raises_an_error(self):
        for raw in (b"", DEEP, DIGITS, b'{"version":' + DIGITS + b"}", b"[]"):
            with self.subTest(raw=raw[:12]):
                self.assertTrue(decode_configuration(item("op/config", raw)).is_error())


class OddEntryInTheStoreTests(unittest.TestCase):
    """The same with a store that answers over a connection."""

    def test_changes_after_an_odd_entry_are_followed(self):
        store = StoreServer()
        self.addCleanup(store.close)
        store.history.put("servers/odd", with_field("version", DEEP))
        events, lines = [], []
        log = SimpleNamespace(emit=lambda name, **_fields: lines.append(name))
        feed = StoreFeed(store.address, events.append, log)
        greenlet = gevent.spawn(feed.run)
        self.addCleanup(greenlet.kill)
        with gevent.Timeout(8):
            while not any(isinstance(event, ListingRead) for event in events):
                gevent.sleep(0.02)
            store.history.put("servers/odd", with_field("version", DEEP + b" "))
            store.history.put("servers/sound", RECORD)
            while not any(isinstance(event, UpstreamPublished) for event in events):
                gevent.sleep(0.02)
        self.assertIn("entry-unreadable", lines)


if __name__ == "__main__":
    unittest.main()
