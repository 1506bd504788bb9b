"""Store records and reply to the requests that wait for a key."""

from collections.abc import Iterable

from immutables import Map

from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.once._messages import (
    Answer,
    StartReply,
    StartRequest,
    StartVerdict,
)
from nutmegslip_decisions.once._records import (
    Killed,
    Pending,
    Record,
    Tombstone,
    Waiter,
)
from nutmegslip_decisions.once._sidecar_types import (
    SendToPeer,
    SidecarEffect,
    SidecarState,
    SidecarStep,
)


def find_record(state: SidecarState, key: str, now_ms: Millis) -> Record | None:
    """Return the record of a key unless it has expired."""
    record = state.records.get(key)
    return record if record and now_ms < record.expires_ms else None


def settle(
    state: SidecarState,
    key: str,
    record: Record,
    waiters: Iterable[Waiter],
    verdict: StartVerdict,
    *,
    answer: Answer | None = None,
    yielded_to: str = "",
) -> SidecarStep:
    """Store a record and reply to the requests that wait for the key."""
    state = state._replace(
        records=state.records.set(key, record), pending=_without_pending(state, key)
    )
    return state, reply(
        state, waiters, key, verdict, answer=answer, yielded_to=yielded_to
    )


def decline(
    state: SidecarState, key: str, waiters: tuple[Waiter, ...], now_ms: Millis
) -> SidecarStep:
    """Promise never to start a key that this sidecar alone may decide on.

    If an entry has no further sidecar to try, the key is ended for all sidecars.
    """
    expires_ms = now_ms + state.options.memory_ms
    if any(waiter.last for waiter in waiters):
        return settle(state, key, Killed(expires_ms), waiters, StartVerdict.NOT_RUN)
    record = Tombstone("", expires_ms)
    return settle(state, key, record, waiters, StartVerdict.DECLINED)


def drop_pending(state: SidecarState, key: str, verdict: StartVerdict) -> SidecarStep:
    """Drop a pending key; a later request starts a new gather."""
    waiters = state.pending[key].waiters
    state = state._replace(pending=_without_pending(state, key))
    return state, reply(state, waiters, key, verdict)


def reply(
    state: SidecarState,
    waiters: Iterable[Waiter],
    key: str,
    verdict: StartVerdict,
    *,
    answer: Answer | None = None,
    yielded_to: str = "",
) -> tuple[SidecarEffect, ...]:
    """Return one start reply for each waiter."""
    return tuple(
        SendToPeer(
            waiter.entry,
            StartReply(
                host=state.host,
                incarnation=state.incarnation,
                to_incarnation=waiter.incarnation,
                request=waiter.request,
                key=key,
                verdict=verdict,
                answer=answer,
                yielded_to=yielded_to,
            ),
        )
        for waiter in waiters
    )


def reject(state: SidecarState, request: StartRequest) -> tuple[SidecarEffect, ...]:
    """Reject a request without any promise about its key."""
    return reply(state, [waiter_of(request)], request.key, StartVerdict.REJECTED)


def waiter_of(request: StartRequest) -> Waiter:
    """Return the waiter for the outcome of a request."""
    return Waiter(
        request.entry, request.entry_incarnation, request.request, request.last
    )


def _without_pending(state: SidecarState, key: str) -> Map[str, Pending]:
    return state.pending.delete(key) if key in state.pending else state.pending
