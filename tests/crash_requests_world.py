"""Entries before three upstreams, with a request that crashes each that runs it."""

from random import Random
from typing import NamedTuple

from nutmegslip_decisions.direct import (
    AttemptFailed,
    Broken,
    NotSent,
    Options,
    Refuse,
    RequestEnded,
    ResponseStarted,
    Send,
    Tick,
    UpstreamPublished,
    UpstreamRemoved,
)
from tests.direct_world import World, crash_report, upstream

STEP_MS = 5
ANSWER_MS = 60  # from the sending of a request; the answer begins as it ends
REMOVED_MS, BACK_MS = 700, 3_500  # from the crash of an upstream
REPORT_MS, TICK_MS = 100, 50
STABLE_MS = 3_000  # the platform's stability window
CRASHES_UNTIL_BOUND = 3
MAX_LATE_SENDS = 3
MAX_RETURNS = 2  # of a caller whose request failed
BAD = "bad"
START_MS = 1_000_000


class Load(NamedTuple):
    """Rates for each entry and second; ``bad`` is how many requests crash upstreams.

    ``crash_ms`` is for how long such a request runs; its answer begins before with
    ``begun_share``. Of the sound ones ``hot_share``
    are the same request. Attempts break with ``broken_share`` whatever they ask for.
    """

    sound_per_s: float = 6.0
    bad_per_s: float = 0.5
    bad: int = 1
    path: str = "/lookups/1"
    crash_ms: tuple[int, int] = (25, 100)
    begun_share: float = 0.0
    hot_share: float = 0.2
    broken_share: float = 0.0
    restarts_per_s: float = 0.0
    report_loss: float = 0.1
    bad_from_ms: int = 8_000
    bad_to_ms: int = 60_000
    length_ms: int = 60_000


class Attempt(NamedTuple):
    """A request at an upstream; it crashes the upstream at ``crash_ms``, if ever."""

    entry: int
    request: object
    upstream: object
    name: str
    sent_ms: int
    crash_ms: int | None
    breaks: bool


class Fleet:
    """Entries and upstreams; ``run`` plays a load."""

    def __init__(self, seed: int, load: Load, entries: int = 3) -> None:
        self.random = Random(seed)
        self.load = load
        self.now_ms = START_MS
        service = "model" if "verses" in load.path else "board"
        names = [f"u{n}" for n in range(3)]
        self.upstreams = {name: upstream(name, service, slots=6) for name in names}
        self.down: set[str] = set()
        self.attempts: list[Attempt] = []
        self.due: list[tuple[int, object]] = []
        self.names: dict[tuple[int, float, int], str] = {}
        self.entries = [self._new_entry(number) for number in range(entries)]
        self.crashes_ms: dict[str, list[int]] = {}
        self.sends_ms: dict[str, list[int]] = {}
        self.sound_sent = self.sound_served = 0
        self.false_refusals: list[str] = []
        self.returns: dict[str, int] = {}

    def run(self) -> None:
        """Play the load to its end."""
        while self.now_ms < START_MS + self.load.length_ms:
            self.now_ms += STEP_MS
            for world in self.entries:
                world.now_ms = self.now_ms
            due = [action for at_ms, action in self.due if at_ms <= self.now_ms]
            self.due = [item for item in self.due if item[0] > self.now_ms]
            for action in due:
                action()
            self._serve()
            for number, world in enumerate(self.entries):
                self._arrivals(number)
                if not self.now_ms % TICK_MS:
                    self._take(number, Tick(self.now_ms))
                if not (self.now_ms + 20 * number) % REPORT_MS:
                    self._report(number, world)
            if self._draws(self.load.restarts_per_s):
                self._restart(self.random.randrange(len(self.entries)))

    def late_sends(self) -> int:
        """Return the most sends of one bad request that the bound counts.

        It leaves out those of an entry that has started in the time before.
        """
        return max(
            (
                sum(
                    sent_ms > crashes[CRASHES_UNTIL_BOUND - 1] + STABLE_MS
                    for sent_ms in self.sends_ms.get(name, ())
                )
                for name, crashes in self.crashes_ms.items()
                if len(crashes) >= CRASHES_UNTIL_BOUND
            ),
            default=0,
        )

    def _draws(self, per_s: float) -> bool:
        return self.random.random() < per_s * STEP_MS / 1_000

    def _new_entry(self, number: int) -> World:
        options = Options(
            f"e{number}", f"10.0.0.{number}", entries=3, budget_slack=200.0
        )
        up = [u for name, u in self.upstreams.items() if name not in self.down]
        world = World(*up, options=options)
        world.now_ms = self.now_ms
        world.incarnation = self.random.random()
        world.started_ms = 0 if self.now_ms == START_MS else self.now_ms
        return world

    def _restart(self, number: int) -> None:
        self.attempts = [a for a in self.attempts if a.entry != number]
        self.entries[number] = self._new_entry(number)

    def _arrivals(self, number: int) -> None:
        if self._draws(self.load.sound_per_s):
            hot = self.random.random() < self.load.hot_share
            name = "hot" if hot else f"sound{self.random.getrandbits(40)}"
            self._arrive(number, name)
        since_ms = self.now_ms - START_MS
        bad = self.load.bad_from_ms <= since_ms < self.load.bad_to_ms
        if bad and self._draws(self.load.bad_per_s):
            self._arrive(number, f"{BAD}{self.random.randrange(self.load.bad)}")

    def _arrive(self, number: int, name: str) -> None:
        world = self.entries[number]
        key = (number, world.incarnation, world.tickets + 1)
        self.names[key] = name
        request_id = f"{key}"
        effects = world.arrive(
            self.load.path, fingerprint=name, request_id=request_id, wait_ms=1_500
        )
        self._perform(number, effects)

    def _name(self, number: int, ticket: int) -> str:
        return self.names[(number, self.entries[number].incarnation, ticket)]

    def _take(self, number: int, event: object) -> None:
        self._perform(number, self.entries[number].take(event))

    def _perform(self, number: int, effects: tuple) -> None:
        for effect in effects:
            match effect:
                case Send(request, to):
                    self._send(number, request, to)
                case Refuse(ticket, kind, _):
                    name = self._name(number, ticket)
                    if "crashing" in kind and not name.startswith(BAD):
                        self.false_refusals.append(name)
                    self._return(name)

    def _return(self, name: str) -> None:
        """Let the caller of a failed request come back at any entry."""
        self.returns[name] = self.returns.get(name, 0) + 1
        if name != "hot" and self.returns[name] <= MAX_RETURNS:
            number = self.random.randrange(len(self.entries))
            self._later(self.random.randrange(100, 500), self._arrive, number, name)

    def _send(self, number: int, request: object, to: object) -> None:
        name = self._name(number, request.ticket)
        if to.id in self.down:
            event = AttemptFailed(self.now_ms, request.ticket, NotSent("refused"))
            self._later(STEP_MS, self._fail_unsent, number, name, event)
            return
        crash_ms = None
        if name.startswith(BAD):
            crash_ms = self.now_ms + self.random.randint(*self.load.crash_ms)
            if self.entries[number].started_ms + STABLE_MS <= self.now_ms:
                self.sends_ms.setdefault(name, []).append(self.now_ms)
        else:
            self.sound_sent += 1
        breaks = self.random.random() < self.load.broken_share
        self.attempts.append(
            Attempt(number, request, to, name, self.now_ms, crash_ms, breaks)
        )

    def _fail_unsent(self, number: int, name: str, event: AttemptFailed) -> None:
        key = (number, self.entries[number].incarnation, event.ticket)
        if self.names.get(key) == name:
            self._take(number, event)

    def _serve(self) -> None:
        for attempt in list(self.attempts):
            if attempt not in self.attempts:
                continue
            if attempt.crash_ms is not None:
                if attempt.crash_ms <= self.now_ms:
                    if self.random.random() < self.load.begun_share:
                        started = ResponseStarted(self.now_ms, attempt.request.ticket)
                        self._take(attempt.entry, started)
                    self.crashes_ms.setdefault(attempt.name, []).append(self.now_ms)
                    self._crash(attempt.upstream.id)
            elif attempt.sent_ms + ANSWER_MS <= self.now_ms:
                self._answer(attempt)

    def _answer(self, attempt: Attempt) -> None:
        self.attempts.remove(attempt)
        ticket = attempt.request.ticket
        if attempt.breaks:
            broken = AttemptFailed(self.now_ms, ticket, Broken("reset", closed=True))
            self._take(attempt.entry, broken)
            return
        self.sound_served += 1
        self._take(attempt.entry, ResponseStarted(self.now_ms, ticket))
        self._take(attempt.entry, RequestEnded(self.now_ms, ticket, True))

    def _crash(self, upstream_id: str) -> None:
        self.down.add(upstream_id)
        lost = [a for a in self.attempts if a.upstream.id == upstream_id]
        self.attempts = [a for a in self.attempts if a.upstream.id != upstream_id]
        for attempt in lost:
            failed = AttemptFailed(
                self.now_ms, attempt.request.ticket, Broken("reset", closed=True)
            )
            self._take(attempt.entry, failed)
        back_ms = BACK_MS + self.random.randrange(500)
        self._later(REMOVED_MS, self._publish, upstream_id, False)
        self._later(back_ms, self._publish, upstream_id, True)

    def _publish(self, upstream_id: str, is_up: bool) -> None:
        if is_up:
            old = self.upstreams[upstream_id]
            self.upstreams[upstream_id] = old._replace(born_ms=old.born_ms + 1)
            self.down.discard(upstream_id)
        for number in range(len(self.entries)):
            if is_up:
                event = UpstreamPublished(self.now_ms, self.upstreams[upstream_id])
            else:
                event = UpstreamRemoved(self.now_ms, upstream_id)
            self._take(number, event)

    def _later(self, delay_ms: int, action, *arguments: object) -> None:
        self.due.append((self.now_ms + delay_ms, lambda: action(*arguments)))

    def _report(self, number: int, world: World) -> None:
        for other in range(len(self.entries)):
            if other == number or self.random.random() < self.load.report_loss:
                continue
            self._take(other, crash_report(self.now_ms, number, world))
