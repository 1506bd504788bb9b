"""List the mutations that tests of at-most-once execution have to detect."""

from collections.abc import Callable
from contextlib import ExitStack
from typing import Any, NamedTuple
from unittest import mock

from immutables import Map

from nutmegslip_decisions.once import (
    _committee,
    _gather,
    _log,
    _memory,
    _start,
    _transfer,
)
from nutmegslip_decisions.once._gather import Granted
from nutmegslip_decisions.once._membership import is_listed
from nutmegslip_decisions.once._messages import Holder


class Mutation(NamedTuple):
    """Functions of the mechanism and their faulty replacements."""

    name: str
    patches: tuple[tuple[Any, str, Callable], ...]

    def applied(self) -> ExitStack:
        """Return a context in which the replacements are patched in."""
        stack = ExitStack()
        for module, name, function in self.patches:
            stack.enter_context(mock.patch.object(module, name, function))
        return stack


def _bind_without_record(state, request, now_ms):
    return state, _ORIGINAL_BIND(state, request, now_ms)[1]


def _listed_now(listings, *_):
    return frozenset(host for host in listings if is_listed(listings, host))


def _unresolved_by_host(state, gather, now_ms):
    own = Holder(state.host, state.incarnation)
    return frozenset(
        h for h in gather.holders if h != own and h.host not in gather.promises
    )


def _votes_of_any_age(state, key, pending, committee, now_ms):
    return len(set(committee) & {state.host, *pending.gather.promises})


def _votes_plus_one(*arguments):
    return _ORIGINAL_VOTES(*arguments) + 1


def _serve_every_claim(transfer, own, request, now_ms):
    unclaimed = {
        key: kept._replace(claimed_by="") for key, kept in transfer.kept.items()
    }
    transfer = transfer._replace(kept=Map(unclaimed))
    return _ORIGINAL_SERVE(transfer, own, request, now_ms)


_ORIGINAL_SERVE = _transfer._serve_claim
_ORIGINAL_BIND = _log.bind
_ORIGINAL_VOTES = _gather._votes


MUTATIONS = (
    Mutation(
        "run every key without a record (naive)",
        (
            (_gather, "assess", lambda *_: Granted()),
            (_start, "may_decide", lambda *_: True),
        ),
    ),
    Mutation(
        "no promises requested from sidecars",
        ((_gather, "_assess_committee", lambda *_: Granted()),),
    ),
    Mutation(
        "a minority of the committee suffices",
        ((_gather, "_votes", _votes_plus_one),),
    ),
    Mutation(
        "a restarted sidecar votes",
        ((_gather, "_votes", _votes_of_any_age),),
    ),
    Mutation(
        "promises to others are ignored",
        ((_gather, "_unresolved_holders", lambda *_: frozenset()),),
    ),
    Mutation(
        "a promise of a later incarnation counts for an earlier one",
        ((_gather, "_unresolved_holders", _unresolved_by_host),),
    ),
    Mutation(
        "committee of only the newest list",
        (
            (_gather, "recently_listed", _listed_now),
            (_committee, "recently_listed", _listed_now),
            (_committee, "listed_throughout", lambda ls, host, *_: is_listed(ls, host)),
        ),
    ),
    Mutation(
        "requests of newly listed entries need no guard",
        (
            (_gather, "_is_guarded", lambda *_: True),
            (_gather, "_unasked_guards", lambda *_: frozenset()),
        ),
    ),
    Mutation(
        "no attestation requested from entries",
        ((_gather, "_assess_entries", lambda *_: Granted()),),
    ),
    Mutation(
        "entries attest without binding themselves",
        ((_log, "bind", _bind_without_record),),
    ),
    Mutation(
        "entries send without a log",
        ((_log, "record_send", lambda state, *_: state),),
    ),
    Mutation(
        "logs of restarted entries count as complete",
        ((_gather, "_logs_cover_memory", lambda *_: True),),
    ),
    Mutation(
        "a memory is handed over without its records",
        ((_memory, "_merge_records", lambda *_: Map()),),
    ),
    Mutation(
        "a memory is claimed twice",
        ((_transfer, "_serve_claim", _serve_every_claim),),
    ),
    Mutation(
        "no lease needed to start",
        ((_start, "may_decide", lambda *_: True),),
    ),
)
