"""Test catalogue validation, accepted and refused versions, and deltas."""

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
    _source_state,
    apply,
    check_document,
    difference,
    encode_value,
    parse_changes,
)
from nutmegslip_decisions.configuration._source_state import (
    apply_delta,
    delta_since,
    new_source_state,
)
from nutmegslip_decisions.model import Catalogue

WORKLOAD = {"owner": "himnario", "kind": "model", "class": "interactive"}
DIGESTS = ["a" * 64, "b" * 64]

# Value, kind of error, path, part of the allowed values.
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
    def test_bad_values_are_reported_with_path_and_allowed_values(self):
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

    def test_an_unknown_key_is_corrected_by_removing_it(self):
        source_state = new_source_state(Source.CATALOGUE)
        for edits in ([{"nonsense": {}}], [{"nonsense": {}}, {"nonsense": None}]):
            source_state = apply_delta(
                source_state, service_delta(edits, source_state.version)
            )
        self.assertEqual((source_state.errors, source_state.version), ((), 2))

    def test_an_older_page_does_not_restore_removed_keys(self):
        edits = [
            {"workload/w": WORKLOAD},
            {"workload/w": None},
            {"workload/w": {"class": "none"}},
        ]
        source_state = apply_delta(
            new_source_state(Source.CATALOGUE), service_delta(edits, 0)
        )
        self.assertEqual((source_state.version, view_of(source_state)), (3, {}))
        late = apply_delta(source_state, service_delta(edits[:1], 0))
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

    def test_an_invalid_answer_is_refused(self):
        for body in (b"{", b"[]", b'{"version": -1, "changes": []}', b"\xff"):
            with self.subTest(body=body):
                self.assertTrue(parse_changes(body, 0).is_error())


# One edit: up to three keys, each removed, valid, or invalid in one of two ways.
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


def reference_view(edits: list[dict[str, dict | None]]) -> dict[str, dict]:
    """Return the values in force after applying each version as a whole document."""
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
        sender = new_source_state(Source.CATALOGUE)
        for version in range(len(keyed)):
            delta = service_delta(keyed[: version + 1], sender.version)
            sender = apply_delta(sender, delta)
        expected = reference_view(keyed)
        self.assertEqual(view_of(sender), expected)

        reader = new_source_state(Source.CATALOGUE)
        if data.draw(st.booleans()):
            reader = apply_delta(reader, service_delta(keyed, 0))
        before = None
        while reader != before:
            before = reader
            size = data.draw(st.sampled_from([1, 300, 10_000]))
            reader = apply_delta(
                reader, delta_since(sender, reader.after, size, reader.kept)
            )
        self.assertEqual(view_of(reader), expected)

    @given(
        st.lists(st.tuples(st.sampled_from("abcdefgh"), st.booleans()), max_size=30),
        st.data(),
    )
    def test_readers_miss_no_removal_that_was_dropped(self, edits, data):
        sender = reader = new_source_state(Source.CATALOGUE)
        with mock.patch.object(_source_state, "REMOVALS_MAX", 2):
            for version, (name, removed) in enumerate(edits, 1):
                value = None if removed else {"mark": "out"}
                edit = change(f"zone/{name}", version, value)
                sender = apply_delta(sender, Delta(version - 1, version, 0, (edit,)))
                if data.draw(st.booleans()):
                    size = data.draw(st.sampled_from([1, 10_000]))
                    reader = apply_delta(
                        reader, delta_since(sender, reader.after, size)
                    )
            for _ in range(3 * len(edits)):
                reader = apply_delta(reader, delta_since(sender, reader.after, 30))
        self.assertEqual(reader.version, sender.version)
        self.assertEqual(reader.view.zone_marks, sender.view.zone_marks)


def service_delta(edits, after):
    latest = {
        key: {"version": version, "key": key, "value": value}
        for version, edit in enumerate(edits, 1)
        for key, value in edit.items()
    }
    changes = [row for row in latest.values() if row["version"] > after]
    body = {"version": len(edits), "oldest": 0, "changes": changes}
    return parse_changes(json.dumps(body), after).ok


def view_of(source_state) -> dict[str, dict]:
    """Return the values in force, each checked against the parsed view."""
    catalogue = source_state.view
    held = {
        key: item
        for key, item in {**source_state.changes, **source_state.in_force}.items()
        if (key not in source_state.pending or key in source_state.in_force)
    }
    values = {k: json.loads(c.value) for k, c in held.items() if c.value is not None}
    rebuilt = apply(Catalogue(0), [change(k, 1, v) for k, v in values.items()])
    assert rebuilt.ok._replace(version=catalogue.version) == catalogue
    return values
