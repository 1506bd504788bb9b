"""Test the start and the close of callers' connections."""

import unittest

import gevent
from gevent import socket

from nutmegslip_decisions.direct import RequestLimits
from nutmegslip_entry.direct import Connection
from nutmegslip_runtime.clock import boottime_ms
from tests.direct_world import caller_connections

REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


class ConnectionTests(unittest.TestCase):
    def setUp(self):
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            self.caller = socket.create_connection(listener.getsockname())
            server_socket, _ = listener.accept()
        self.served = []
        self.limits = RequestLimits()
        self.connection = Connection(
            server_socket,
            self._serve,
            self._limits,
            lambda: False,
            boottime_ms,
            caller_connections(),
        )
        self.addCleanup(self.caller.close)

    def _limits(self):
        return self.limits

    def _serve(self, caller, request):
        self.served.append(request)
        caller.answer(200, [], b"")

    def test_an_open_connection_follows_changed_size_limits(self):
        """Guard against limits of the configuration in force as it was opened."""
        running = gevent.spawn(self.connection.run)
        head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 90\r\n\r\n"
        body = b"x" * 90
        for body_bytes in (100, 50, 200):
            self.limits = RequestLimits(body_bytes=100)
            self.caller.sendall(head + body[:40])
            gevent.sleep(0.01)
            self.limits = RequestLimits(body_bytes=body_bytes)  # for the next head
            self.caller.sendall(body[40:])
            self.assertTrue(self.caller.recv(100).startswith(b"HTTP/1.1 200"))
        self.limits = RequestLimits(body_bytes=50)
        self.caller.sendall(head + body)
        self.assertTrue(self.caller.recv(100).startswith(b"HTTP/1.1 413"))
        self.caller.close()
        running.join(2)

    def test_request_received_after_the_close_is_not_served(self):
        self.caller.sendall(REQUEST)
        self.connection.close_if_idle()
        self.connection.run()
        self.assertEqual(self.served, [])

    def test_a_stop_resets_no_idle_connection(self):
        """Guard against a reset that overtakes the last bytes of an answer."""
        self.connection.reset_if_busy()
        running = gevent.spawn(self.connection.run)
        self.caller.sendall(REQUEST)
        self.assertTrue(self.caller.recv(100).startswith(b"HTTP/1.1 200"))
        self.caller.sendall(REQUEST[:9])
        gevent.sleep(0.01)
        self.connection.reset_if_busy()
        with self.assertRaises(ConnectionResetError):
            self.caller.recv(100)
        running.join(2)

    def test_started_request_is_served_before_the_close(self):
        running = gevent.spawn(self.connection.run)
        self.caller.sendall(REQUEST[:9])
        gevent.sleep(0.01)
        self.connection.close_if_idle()
        self.caller.sendall(REQUEST[9:])
        gevent.sleep(0.01)
        self.assertEqual(len(self.served), 1)
        self.caller.close()
        running.join(2)


if __name__ == "__main__":
    unittest.main()
