"""Test that an entry goes on while what reads its log stands still."""

import fcntl
import os
import unittest

import gevent

from nutmegslip_runtime.eventlog import BoundedStream

LINE = "x" * 99 + "\n"


class BoundedStreamTests(unittest.TestCase):
    """Guard against a write to the log that halts all requests."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.stream = BoundedStream(self.writer, max_pending_chars=200_000)

    def _read(self, until):
        fcntl.fcntl(self.reader, fcntl.F_SETFL, os.O_NONBLOCK)
        found = b""
        with gevent.Timeout(5):
            while not until(found):
                try:
                    found += os.read(self.reader, 65_536)
                except BlockingIOError:
                    gevent.sleep(0.01)
        return found

    def test_lines_arrive_whole_and_in_order(self):
        lines = [f"line {number}\n" for number in range(500)]
        for line in lines:
            self.stream.write(line)
            self.stream.flush()
        found = self._read(lambda found: found.count(b"\n") == 500)
        self.assertEqual(found.decode(), "".join(lines))
        self.assertEqual(self.stream.dropped, 0)

    def test_a_reader_that_stands_still_delays_nobody(self):
        for _ in range(3):
            for _ in range(1_000):
                self.stream.write(LINE)
            gevent.sleep(0.01)
        self.assertTrue(self.stream.is_stalled)
        self.assertGreater(self.stream.dropped, 0)
        kept = 3_000 - self.stream.dropped
        self._read(lambda found: found.count(b"\n") == kept)
        gevent.sleep(0.05)
        self.stream.write("again\n")
        self._read(lambda found: found == b"again\n")
        self.assertFalse(self.stream.is_stalled)

    def test_a_reader_that_is_gone_is_counted(self):
        os.close(self.reader)
        self.reader = os.open(os.devnull, os.O_RDONLY)
        self.stream.write(LINE)
        self.stream.finish(5)
        self.assertEqual(self.stream.dropped, 1)


if __name__ == "__main__":
    unittest.main()
