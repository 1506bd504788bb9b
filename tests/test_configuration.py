"""Check catalogue parsing, versions taken and refused, and the delta form."""

import json
import tomllib
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from nutmegslip_decisions.configuration import (
    Change,
    Delta,
    ErrorKind,
    Source,
    _register,
    apply,
    check_document,
    difference,
    encode_value,
    parse_changes,
)
from nutmegslip_decisions.configuration._register import (
    absorb,
    delta_since,
    new_register,
)
from nutmegslip_decisions.model import Catalogue

WORKLOAD = {"owner": "himnario", "kind": "model", "class": "interactive"}
DIGESTS = ["a" * 64, "b" * 64]

# value, kind of error, place, part of what is allowed
BAD_VALUES = [
    ({**WORKLOAD, "klass": 1}, ErrorKind.UNKNOWN_FIELD, "workload/w.klass", "Extra"),
    ({"owner": "o", "kind": "model"}, ErrorKind.MISSING_FIELD, "workload/w.class", ""),
    ({**WORKLOAD, "kind": "x"}, ErrorKind.BAD_VALUE, "workload/w.kind", "'model'"),
    (
        {**WORKLOAD, "limits": {"burst": -1}},
        ErrorKind.BAD_VALUE,
        "workload/w.limits.burst",
        "greater than or equal to 0",
    ),
    (
        {**WORKLOAD, "timeout_ms": True},
        ErrorKind.BAD_VALUE,
        "workload/w.timeout_ms",
        "",
    ),
    (
        {**WORKLOAD, "cold_limit": 9, "warm_limit": 3},
        ErrorKind.LIMITS_CROSSED,
        "workload/w.cold_limit",
        "at most warm_limit, 3",
    ),
    (
        {**WORKLOAD, "repeatable": False},
        ErrorKind.NOT_REPEATABLE,
        "workload/w.repeatable",
        "true for a workload of kind model",
    ),
]

DOCUMENT = f"""
[workloads.verses]
owner = "himnario"
kind = "model"
class = "interactive"
limits = {{requests_per_second = 50.0, burst = 20}}

[accounts.parish]
key_sha256 = ["{DIGESTS[0]}"]

[zones.north]
mark = "out"

[hosts.runner-1]
mark = "in"
"""


def change(key: str, version: int, value: dict | None) -> Change:
    return Change(key, version, encode_value(value))


class CatalogueTests(unittest.TestCase):
    def test_bad_values_are_reported_with_place_and_allowed_values(self):
        for value, kind, where, allowed in BAD_VALUES:
            with self.subTest(where=where):
                result = apply(Catalogue(0), [change("workload/w", 3, value)])
                error = result.error[0]
                self.assertEqual((error.kind, error.where), (kind, where))
                self.assertIn(allowed, error.allowed)
                self.assertEqual(error.version, 3)
                self.assertTrue(error.remedy)

    def test_all_errors_of_a_version_are_reported(self):
        changes = [change("workload/w", 1, {"x": 1}), change("nonsense", 1, {})]
        kinds = [error.kind for error in apply(Catalogue(0), changes).error]
        self.assertEqual(len(kinds), 5)
        self.assertIn(ErrorKind.UNKNOWN_KEY, kinds)

    def test_an_unknown_key_is_put_right_by_removing_it(self):
        register = new_register(Source.CATALOGUE)
        for edits in ([{"nonsense": {}}], [{"nonsense": {}}, {"nonsense": None}]):
            register = absorb(register, service_delta(edits, register.version))
        self.assertEqual((register.errors, register.version), ((), 2))

    def test_an_older_page_brings_back_nothing_that_was_removed(self):
        edits = [
            {"workload/w": WORKLOAD},
            {"workload/w": None},
            {"workload/w": {"class": "none"}},
        ]
        register = absorb(new_register(Source.CATALOGUE), service_delta(edits, 0))
        self.assertEqual((register.version, view_of(register)), (3, {}))
        late = absorb(register, service_delta(edits[:1], 0))
        self.assertEqual(view_of(late), {})

    def test_a_document_cannot_give_two_accounts_one_key(self):
        accounts = {name: {"key_sha256": [DIGESTS[0]]} for name in "ab"}
        errors = check_document({"accounts": accounts}).error
        self.assertEqual([e.kind for e in errors], [ErrorKind.DUPLICATE_DIGEST])

    def test_a_document_becomes_the_same_catalogue_as_its_changes(self):
        changes = check_document(tomllib.loads(DOCUMENT), 4).ok
        catalogue = apply(Catalogue(0), changes).ok
        self.assertEqual(catalogue.version, 4)
        self.assertFalse(catalogue.takes_work("runner-1", "north"))
        self.assertEqual(catalogue.workloads["verses"].limits.burst, 20)
        self.assertEqual(check_document({"zone": {}}).error[0].where, "zone")

    def test_difference_names_each_field(self):
        old = apply(Catalogue(0), [change("workload/w", 1, WORKLOAD)]).ok
        edits = [
            change("workload/w", 2, {**WORKLOAD, "timeout_ms": 5}),
            change("zone/north", 2, {"mark": "out"}),
        ]
        new = apply(old, edits).ok
        self.assertEqual(
            difference(old, new),
            ("~ workload/w.timeout_ms: 30000 -> 5", "+ zone/north: out"),
        )
        self.assertEqual(difference(new, new), ())

    def test_a_bad_answer_is_refused_whole(self):
        for body in (b"{", b"[]", b'{"version": -1, "changes": []}', b"\xff"):
            with self.subTest(body=body):
                self.assertTrue(parse_changes(body, 0).is_error())


# One edit: up to three keys, each removed, good, or bad in one of two ways.
VALUES = st.sampled_from(
    [
        ("workload", None),
        ("workload", WORKLOAD),
        ("workload", {**WORKLOAD, "timeout_ms": 7}),
        ("workload", {"owner": 1}),
        ("account", None),
        ("account", {"key_sha256": DIGESTS[:1]}),
        ("account", {"key_sha256": DIGESTS[1:]}),
        ("zone", {"mark": "out"}),
        ("zone", {"mark": "sideways"}),
    ]
)
EDITS = st.lists(
    st.dictionaries(st.sampled_from("xyz"), VALUES, min_size=1, max_size=3),
    max_size=12,
)


def naive_view(edits: list[dict[str, dict | None]]) -> dict[str, dict]:
    """Take version by version, each tried as one whole document."""
    accepted: dict[str, dict] = {}
    waiting: dict[int, dict] = {}
    for version, edit in enumerate(edits, 1):
        for older in waiting.values():
            for key in edit:
                older.pop(key, None)
        waiting[version] = dict(edit)
        tried = sorted(waiting)
        for number in tried:
            candidate = {**accepted, **waiting[number]}
            changes = [change(k, 1, v) for k, v in candidate.items()]
            if apply(Catalogue(0), changes).is_ok():
                accepted = candidate
                del waiting[number]
    return {key: value for key, value in accepted.items() if value is not None}


class DifferentialTests(unittest.TestCase):
    @given(EDITS, st.data())
    def test_deltas_in_any_batches_match_whole_documents(self, edits, data):
        keyed = [
            {f"{kind}/{name}": value for name, (kind, value) in edit.items()}
            for edit in edits
        ]
        whole = new_register(Source.CATALOGUE)
        for version in range(len(keyed)):
            delta = service_delta(keyed[: version + 1], whole.version)
            whole = absorb(whole, delta)
        expected = naive_view(keyed)
        self.assertEqual(view_of(whole), expected)

        late = new_register(Source.CATALOGUE)
        if data.draw(st.booleans()):
            late = absorb(late, service_delta(keyed, 0))
        before = None
        while late != before:
            before = late
            size = data.draw(st.sampled_from([1, 300, 10_000]))
            late = absorb(late, delta_since(whole, late.after, size, late.kept))
        self.assertEqual(view_of(late), expected)

    @given(
        st.lists(st.tuples(st.sampled_from("abcdefgh"), st.booleans()), max_size=30),
        st.data(),
    )
    def test_readers_miss_no_removal_that_was_dropped(self, edits, data):
        whole = late = new_register(Source.CATALOGUE)
        with mock.patch.object(_register, "REMOVALS_MAX", 2):
            for version, (name, removed) in enumerate(edits, 1):
                value = None if removed else {"mark": "out"}
                edit = change(f"zone/{name}", version, value)
                whole = absorb(whole, Delta(version - 1, version, 0, (edit,)))
                if data.draw(st.booleans()):
                    size = data.draw(st.sampled_from([1, 10_000]))
                    late = absorb(late, delta_since(whole, late.after, size))
            for _ in range(3 * len(edits)):
                late = absorb(late, delta_since(whole, late.after, 30))
        self.assertEqual(late.version, whole.version)
        self.assertEqual(late.view.zone_marks, whole.view.zone_marks)


def service_delta(edits, after):
    latest = {
        key: {"version": version, "key": key, "value": value}
        for version, edit in enumerate(edits, 1)
        for key, value in edit.items()
    }
    changes = [row for row in latest.values() if row["version"] > after]
    body = {"version": len(edits), "oldest": 0, "changes": changes}
    return parse_changes(json.dumps(body), after).ok


def view_of(register) -> dict[str, dict]:
    """Return the values in force, each checked against the parsed view."""
    catalogue = register.view
    held = {
        key: item
        for key, item in {**register.changes, **register.in_force}.items()
        if (key not in register.pending or key in register.in_force)
    }
    values = {k: json.loads(c.value) for k, c in held.items() if c.value is not None}
    rebuilt = apply(Catalogue(0), [change(k, 1, v) for k, v in values.items()])
    assert rebuilt.ok._replace(version=catalogue.version) == catalogue
    return values
