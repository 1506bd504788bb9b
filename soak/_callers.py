"""Send requests as callers do, on connections that stay open between requests."""

from itertools import count
from random import Random

import gevent

from bench.direct_site import caller_headers
from bench.entry_process import EntryProcess, exchange
from nutmegslip_runtime.clock import boottime_ms
from nutmegslip_runtime.http1 import ClientConnection, NotConnected
from soak._guarantees import BAD_BODY, BAD_TARGET, ReceivedResponse, SentRequest
from soak._prompts import Prompts

KINDS = (("lookup", "/lookups/"), ("push", "/pushes/"), ("stream", "/verses/"))
PAUSE_S = 0.02  # after a success
BACKOFF_S = 0.2  # after any other response, or when an entry accepts no connection


class Callers:
    """Concurrent callers, each of which sends one request after the other."""

    def __init__(
        self, entries: list[EntryProcess], seed: int, prompts: Prompts
    ) -> None:
        self._prompts = prompts
        self._entries = entries
        self._seed = seed
        self._prompt_rng = Random(f"{seed}-parts")
        self._bad_request_rng = Random(f"{seed}-bad-requests")
        self._request_numbers = count(1)
        self._sending = True
        self.sent: dict[str, SentRequest] = {}
        self.received: list[ReceivedResponse] = []

    def start(self, callers: int) -> list[gevent.Greenlet]:
        """Start callers; each completes its last request after ``stop``."""
        return [gevent.spawn(self._run_caller, number) for number in range(callers)]

    def stop(self) -> None:
        """Stop sending new requests, and bad prompts."""
        self._sending = False
        self._prompts = Prompts(has_bad=False)

    def send_request(
        self, rng: Random, connection: ClientConnection, entry: str
    ) -> ReceivedResponse:
        """Send one request on an open connection; record and return the response."""
        kind, prefix = rng.choice(KINDS)
        request_id = f"q{next(self._request_numbers)}"
        target = f"{prefix}{rng.randrange(9)}?of={request_id}".encode()
        body = rng.randbytes(rng.choice((0, 20, 3_000)))
        if self._prompts.is_bad_request(self._bad_request_rng):
            kind, target, body = "lookup", BAD_TARGET, BAD_BODY
        parts = self._prompts.draw_parts(self._prompt_rng) if kind == "stream" else ()
        sent = self.sent[request_id] = SentRequest(
            request_id, kind, target, body, entry, boottime_ms(), parts
        )
        headers = caller_headers(request_id)
        if parts:
            value = ",".join(f"{part}:40" for part in (*parts, request_id))
            headers.append((b"X-Nutmegslip-Prompt-Prefix", value.encode()))
        reply = exchange(connection, b"POST", target, headers, body)
        response = ReceivedResponse(
            sent, reply.status, reply.body, reply.complete, boottime_ms()
        )
        self.received.append(response)
        return response

    def _run_caller(self, number: int) -> None:
        rng = Random(f"{self._seed}-{number}")
        connection: ClientConnection | None = None
        while self._sending:
            if connection is None or not connection.is_reusable:
                entry = rng.choice(self._entries)
                connection = self._connect(entry)
            if connection is None:
                gevent.sleep(BACKOFF_S)
                continue
            response = self.send_request(rng, connection, entry.ip)
            if not response.complete:
                connection.close()
                connection = None
            gevent.sleep(PAUSE_S if response.status == 200 else BACKOFF_S)

    def _connect(self, entry: EntryProcess) -> ClientConnection | None:
        try:
            return entry.connect()
        except NotConnected:
            return None  # the entry is down or frozen; the next attempt draws again
