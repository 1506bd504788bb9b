"""Send and retry a coordinator's requests."""

from nutmegslip_decisions.experts.agreement._events import Effect, Send
from nutmegslip_decisions.experts.agreement._messages import Message
from nutmegslip_decisions.experts.agreement._state import Leading, LoadingMap, State


def schedule_retry(state: State) -> State:
    """Set the time at which unanswered requests are retried."""
    loading = isinstance(state.leadership, Leading) and isinstance(
        state.leadership.change, LoadingMap
    )
    options = state.options
    delay_ms = options.load_retry_interval_ms if loading else options.retry_interval_ms
    return state._replace(retry_deadline_ms=state.now_ms + delay_ms)


def send_to_all(state: State, message: Message) -> tuple[Effect, ...]:
    """Send a message to every rank."""
    return send_to_remaining(state, message, frozenset())


def send_to_remaining(
    state: State, message: Message, done: frozenset[int]
) -> tuple[Effect, ...]:
    """Send a message to the ranks that are not in ``done``."""
    return tuple(Send(rank, message) for rank in range(state.size) if rank not in done)
