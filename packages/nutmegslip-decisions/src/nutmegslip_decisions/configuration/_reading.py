"""Schedule reads of the configuration service and apply their results."""

from nutmegslip_decisions.configuration._changes import Delta
from nutmegslip_decisions.configuration._errors import ConfigurationErrors
from nutmegslip_decisions.configuration._events import ReadService
from nutmegslip_decisions.configuration._parse import parse_changes
from nutmegslip_decisions.configuration._source_state import (
    Source,
    SourceState,
    apply_delta,
)
from nutmegslip_decisions.configuration._state import Reader, SyncState
from nutmegslip_decisions.model import Millis, rendezvous_score


def handle_answer(
    state: SyncState, now_ms: Millis, source: Source, body: bytes
) -> tuple[SyncState, ConfigurationErrors]:
    """Apply the answer to the read in flight; ignore it if there is none."""
    reader = state.readers[source]
    if reader.timeout_ms is None:
        return state, ()
    answer = parse_changes(body, reader.after)
    if answer.is_error():
        return handle_failure(state, now_ms, source), answer.error
    return _apply_page(state, now_ms, source, answer.ok), ()


def handle_failure(state: SyncState, now_ms: Millis, source: Source) -> SyncState:
    """Schedule a retry after the read in flight failed."""
    reader = state.readers[source]
    due_ms = now_ms + _retry_ms(state, source)
    return _put_reader(state, source, reader._replace(timeout_ms=None, due_ms=due_ms))


def due_reads(
    state: SyncState, now_ms: Millis
) -> tuple[SyncState, tuple[ReadService, ...]]:
    """Start the reads that are due, and time out those without an answer."""
    effects = []
    for source in Source:
        reader = state.readers[source]
        if reader.timeout_ms is not None and now_ms >= reader.timeout_ms:
            state = handle_failure(state, now_ms, source)
            reader = state.readers[source]
        if not _is_due(state, reader, source, now_ms):
            continue
        effect = ReadService(source, *_read_parameters(state, source))
        timeout_ms = now_ms + effect.wait_ms + state.options.read_timeout_ms
        reader = reader._replace(
            after=effect.after, sent_ms=now_ms, timeout_ms=timeout_ms
        )
        state = _put_reader(state, source, reader)
        effects.append(effect)
    return state, tuple(effects)


def record_service_age(
    state: SyncState, source: Source, sent_ms: Millis, age_ms: int
) -> SyncState:
    """Record the age of the service's last answer from a poll sent at ``sent_ms``."""
    reader = state.readers[source]
    last_answer_ms = max(reader.last_answer_ms, sent_ms - age_ms)
    return _put_reader(state, source, reader._replace(last_answer_ms=last_answer_ms))


def reads_continuously(state: SyncState) -> bool:
    """Return whether this process reads the service continuously.

    Other processes read only once the last known answer of the service is stale.
    """
    return state.placement.is_watcher or (state.is_witness and not state.synced)


def _apply_page(
    state: SyncState, now_ms: Millis, source: Source, delta: Delta
) -> SyncState:
    reader = state.readers[source]
    source_state = state.source_state(source)
    is_stale = delta.version < source_state.version
    last_answer_ms = (
        reader.last_answer_ms
        if is_stale
        else max(reader.last_answer_ms, reader.sent_ms)
    )
    reader = reader._replace(
        timeout_ms=None,
        due_ms=max(now_ms, reader.sent_ms + state.options.read_interval_ms),
        last_answer_ms=last_answer_ms,
        answered=True,
    )
    return _put_source_state(
        _put_reader(state, source, reader), source, apply_delta(source_state, delta)
    )


def _read_parameters(state: SyncState, source: Source) -> tuple[int, int]:
    source_state = state.source_state(source)
    waits = reads_continuously(state) and source_state.after > 0
    return source_state.after, state.options.watch_wait_ms if waits else 0


def _is_due(state: SyncState, reader: Reader, source: Source, now_ms: Millis) -> bool:
    if reader.timeout_ms is not None or now_ms < reader.due_ms:
        return False
    if reads_continuously(state) or state.source_state(source).needs_full_read:
        return True
    # The jitter differs by host, so that an outage does not cause a burst of reads.
    threshold_ms = state.options.stale_ms + _jitter_ms(state, source)
    return now_ms > reader.last_answer_ms + threshold_ms


def _retry_ms(state: SyncState, source: Source) -> int:
    if reads_continuously(state):
        return 4 * state.options.read_interval_ms
    return _fallback_ms(state) + _jitter_ms(state, source)


def _fallback_ms(state: SyncState) -> int:
    if state.placement.is_entry:
        return state.options.entry_fallback_ms
    return state.options.sidecar_fallback_ms


def _jitter_ms(state: SyncState, source: Source) -> int:
    return rendezvous_score(source, state.options.host) % _fallback_ms(state)


def _put_reader(state: SyncState, source: Source, reader: Reader) -> SyncState:
    return state._replace(readers=state.readers.set(source, reader))


def _put_source_state(
    state: SyncState, source: Source, source_state: SourceState
) -> SyncState:
    if source is Source.CATALOGUE:
        return state._replace(catalogue=source_state)
    return state._replace(hosts=source_state)
