"""Test that a greenlet that keeps all others from running is found."""

import unittest

import gevent

from nutmegslip_entry.direct._watchdog import Watchdog

NANOS_PER_MS = 1_000_000


class WatchdogTests(unittest.TestCase):
    """Guard against a halt of the whole process that no line explains."""

    def setUp(self):
        self.now_ns = 0
        self.watchdog = Watchdog(lambda: self.now_ns)
        self.watchdog.start()
        self.addCleanup(self.watchdog.stop)

    def _run_for(self, milliseconds):
        self.now_ns += milliseconds * NANOS_PER_MS

    def _wait_for(self, milliseconds):
        gevent.get_hub().loop.run_callback(self._run_for, milliseconds)
        gevent.sleep(0)

    def test_the_longest_turn_is_named_and_asked_for_once(self):
        gevent.joinall([gevent.spawn(self._run_for, ms) for ms in (30, 400, 20)])
        turn = self.watchdog.longest_turn()
        self.assertEqual((turn.took_ms, turn.ran), (400, "WatchdogTests._run_for"))
        self.assertEqual(self.watchdog.longest_turn()[:2], (0, ""))

    def test_the_hub_waits_and_takes_no_turn(self):
        gevent.spawn(self._wait_for, 900).join()
        self.assertEqual(self.watchdog.longest_turn().took_ms, 0)


if __name__ == "__main__":
    unittest.main()
