"""Feed events to a reducer and perform its effects in order."""

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

State = TypeVar("State")
Event = TypeVar("Event")
Effect = TypeVar("Effect")


class Machine(Generic[State, Event, Effect]):
    """The state of one process and the reducer that updates it.

    ``perform`` must not block: slow work is spawned and reports back with an event
    of its own. An event on which the reducer fails is passed to ``on_error`` and
    leaves the state unchanged.
    """

    def __init__(
        self,
        state: State,
        reduce: Callable[[State, Event], tuple[State, tuple[Effect, ...]]],
        perform: Callable[[Effect], None],
        on_error: Callable[[Event, Exception], None],
    ) -> None:
        self._state = state
        self._reduce = reduce
        self._perform = perform
        self._on_error = on_error
        self._events: deque[Event] = deque()
        self._busy = False

    @property
    def state(self) -> State:
        """Return the current state."""
        return self._state

    def dispatch(self, event: Event) -> None:
        """Reduce an event; events that arrive meanwhile are queued."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._busy = False

    def _step(self, event: Event) -> None:
        try:
            self._state, effects = self._reduce(self._state, event)
        except Exception as error:
            self._on_error(event, error)
            return
        for effect in effects:
            self._perform(effect)
