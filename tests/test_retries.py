"""Fuzz retries against a simple count of the accrued budget."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from nutmegslip_decisions.retries import (
    AttemptFailed,
    AttemptStarted,
    GiveUp,
    GiveUpKind,
    Ran,
    Retry,
    RetryState,
    reduce,
)

gaps = st.integers(0, 2_000)
steps = st.one_of(
    st.builds(AttemptStarted, gaps),
    st.builds(
        AttemptFailed,
        gaps,
        st.just("r"),
        st.integers(1, 4),
        st.sampled_from(Ran),
        st.booleans(),
        st.integers(0, 3_000),
    ),
)


class RetryTests(unittest.TestCase):
    @given(st.lists(steps, max_size=120))
    def test_stays_within_budget_deadline_and_idempotency(self, events):
        state, now_ms, starts, retries = RetryState(), 0, 0, 0
        for event in events:
            now_ms += event.now_ms
            fields = {f: getattr(event, f) for f in event.__dataclass_fields__}
            deadline_ms = now_ms + fields.get("deadline_ms", 0)
            fields |= {"now_ms": now_ms}
            if isinstance(event, AttemptStarted):
                starts += 1
                state, _ = reduce(state, AttemptStarted(**fields))
                continue
            failed = AttemptFailed(**fields | {"deadline_ms": deadline_ms})
            state, (effect,) = reduce(state, failed)
            if isinstance(effect, GiveUp):
                self.assertIs(effect.ran, failed.ran)
                self.assertGreater(effect.retry_after_ms, 0)
                continue
            retries += 1
            self.assertTrue(failed.repeatable or failed.ran is Ran.NO)
            self.assertLess(effect.retry_at_ms, deadline_ms)
            self.assertLessEqual(retries, starts * 0.1 + now_ms / 1_000 + 1e-6)

    def test_names_why_a_request_is_given_up(self):
        cases = [
            (1, Ran.UNKNOWN, False, 9_000, GiveUpKind.MAY_HAVE_RUN),
            (3, Ran.NO, True, 9_000, GiveUpKind.ATTEMPTS_SPENT),
            (1, Ran.NO, True, 5_100, GiveUpKind.DEADLINE_NEAR),
            (1, Ran.NO, False, 9_000, None),
            (1, Ran.UNKNOWN, True, 9_000, None),
        ]
        for attempts, ran, repeatable, deadline_ms, kind in cases:
            with self.subTest(kind):
                failed = AttemptFailed(
                    5_000, "r", attempts, ran, repeatable, deadline_ms
                )
                _, (effect,) = reduce(RetryState(), failed)
                if kind is None:
                    self.assertEqual(effect, Retry("r", 5_000))
                else:
                    self.assertIs(effect.kind, kind)
        spent = RetryState(budget=0.5, filled_at_ms=5_000)
        failed = AttemptFailed(5_000, "r", 1, Ran.NO, True, 9_000)
        self.assertIs(reduce(spent, failed)[1][0].kind, GiveUpKind.BUDGET_SPENT)
