"""Send requests as callers do: on open connections, until the process is gone."""

from itertools import count
from random import Random

import gevent

from bench.direct_site import caller_fields
from bench.entry_process import EntryProcess, exchange
from nutmegslip_runtime.http1 import ClientConnection, NotConnected
from soak._promises import Seen, Sent

KINDS = (("lookup", "/lookups/"), ("push", "/pushes/"), ("stream", "/verses/"))
PAUSE_S = 0.02
REST_S = 0.2  # after a refusal, or while no entry takes a connection


class Callers:
    """Hold callers that send one request after the other."""

    def __init__(self, entries: list[EntryProcess], seed: int) -> None:
        self._entries = entries
        self._seed = seed
        self._numbers = count(1)
        self._sending = True
        self.sent: dict[str, Sent] = {}
        self.seen: list[Seen] = []

    def start(self, callers: int) -> list[gevent.Greenlet]:
        """Start callers; each ends its last request after ``stop``."""
        return [gevent.spawn(self._call, number) for number in range(callers)]

    def stop(self) -> None:
        """Send nothing more."""
        self._sending = False

    def ask(self, draw: Random, channel: ClientConnection) -> Seen:
        """Send one request on an open connection; remember and return its end."""
        kind, prefix = draw.choice(KINDS)
        name = f"q{next(self._numbers)}"
        target = f"{prefix}{draw.randrange(9)}?of={name}".encode()
        body = draw.randbytes(draw.choice((0, 20, 3_000)))
        sent = self.sent[name] = Sent(name, kind, target, body)
        reply = exchange(channel, b"POST", target, caller_fields(name), body)
        seen = Seen(sent, reply.status, reply.body, reply.whole)
        self.seen.append(seen)
        return seen

    def _call(self, number: int) -> None:
        draw = Random(f"{self._seed}-{number}")
        channel: ClientConnection | None = None
        while self._sending:
            if channel is None or not channel.is_reusable:
                channel = self._connect(draw)
            if channel is None:
                gevent.sleep(REST_S)
                continue
            seen = self.ask(draw, channel)
            if not seen.whole:
                channel.close()
                channel = None
            gevent.sleep(PAUSE_S if seen.status == 200 else REST_S)

    def _connect(self, draw: Random) -> ClientConnection | None:
        try:
            return draw.choice(self._entries).connect()
        except NotConnected:
            return None  # that entry is down or frozen; another is drawn next
