"""Test requests that arrive while an entry has not read its configuration yet."""

import unittest

from nutmegslip_decisions.direct import (
    ConfigurationPublished,
    ListingRead,
    Options,
    RefusalKind,
    RequestEnded,
    Send,
    State,
    StoreLost,
    Tick,
)
from nutmegslip_decisions.direct._starting import MAX_START_WAIT_MS
from tests.direct_world import World, configuration, upstream


class StartingTests(unittest.TestCase):
    """Replay the load right after all entries were killed.

    The callers' connections reach entries within milliseconds of their start, some
    20 to 90 ms before the configuration is read. A refusal uses up the one retry that
    callers have.
    """

    def setUp(self):
        self.world = World()
        self.world.state = State(Options("entry-1"))

    def _read_store(self):
        now_ms = self.world.now_ms
        published = ConfigurationPublished(now_ms, configuration())
        effects = self.world.take(published)
        listed = [upstream(f"u{n}", slots=9) for n in range(4)]
        return effects, self.world.take(ListingRead(now_ms, tuple(listed)))

    def _tick(self, later_ms):
        self.world.now_ms += later_ms
        return self.world.take(Tick(self.world.now_ms))

    def test_requests_wait_for_the_first_list_and_are_all_sent(self):
        for _ in range(20):
            self.assertEqual(self.world.arrive(), ())
        self.assertEqual(self._tick(90), ())
        before, after = self._read_store()
        self.assertEqual(before, ())
        self.assertEqual([type(effect) for effect in after], [Send] * 20)
        self.assertEqual({e.request.arrived_ms for e in after}, {1_000_000})

    def test_a_request_that_waited_too_long_is_refused_with_a_retry_delay(self):
        self.world.arrive()
        self.assertEqual(self._tick(MAX_START_WAIT_MS - 1), ())
        (effect,) = self._tick(1)
        self.assertIs(effect.kind, RefusalKind.NO_CONFIGURATION)
        self.assertFalse(effect.ran)
        self.assertGreater(effect.retry_after_ms, 0)
        self.assertEqual(self._read_store(), ((), ()))

    def test_nothing_waits_for_a_store_that_does_not_answer(self):
        self.world.arrive()
        (effect,) = self.world.take(StoreLost(self.world.now_ms))
        self.assertIs(effect.kind, RefusalKind.NO_CONFIGURATION)
        (effect,) = self.world.arrive()
        self.assertIs(effect.kind, RefusalKind.NO_CONFIGURATION)

    def test_a_caller_that_leaves_is_forgotten(self):
        self.world.arrive()
        self.world.take(RequestEnded(self.world.now_ms, 1, answered=False))
        self.assertEqual(self._read_store(), ((), ()))

    def test_a_request_whose_caller_waits_less_is_refused_at_its_deadline(self):
        self.world.arrive(wait_ms=50)
        (effect,) = self._tick(50)
        self.assertIs(effect.kind, RefusalKind.NO_CONFIGURATION)

    def test_nothing_is_sent_past_its_deadline_after_a_suspension(self):
        self.world.arrive(wait_ms=50)
        self.world.now_ms += 5_000
        _, (effect,) = self._read_store()
        self.assertIs(effect.kind, RefusalKind.NO_CONFIGURATION)

    def test_the_route_decides_once_it_is_known(self):
        self.world.arrive("/nothing/1")
        self.world.arrive("/lookups/1", key="other")
        _, effects = self._read_store()
        kinds = [effect.kind for effect in effects]
        self.assertEqual(kinds, [RefusalKind.NO_ROUTE, RefusalKind.UNKNOWN_KEY])


if __name__ == "__main__":
    unittest.main()
