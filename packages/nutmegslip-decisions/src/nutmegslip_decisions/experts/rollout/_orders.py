"""List the orders that a phase still has to send."""

from collections.abc import Iterator

from nutmegslip_decisions.experts.rollout._phases import latest_report
from nutmegslip_decisions.experts.rollout._state import (
    Arming,
    Clearing,
    Holding,
    Preparing,
    Releasing,
    State,
)
from nutmegslip_decisions.experts.rollout._types import (
    Arm,
    Disarm,
    Hold,
    Order,
    Prepare,
    Release,
)


def unconfirmed_orders(state: State) -> Iterator[tuple[str, Order]]:
    """Yield each rank and order that is not confirmed yet in this phase."""
    ranks = state.group.ranks
    match state.phase:
        case Preparing(version, layout):
            for rank in ranks:
                if latest_report(state, rank) is None or (
                    latest_report(state, rank).prepared != version
                ):
                    yield rank, Prepare(version, layout, reported=True)
        case Holding(holder=holder, step=step):
            yield holder, Hold(step)
        case Arming(version=version, step=step, armed=armed):
            for rank in ranks:
                if rank not in armed:
                    yield rank, Arm(version, step)
        case Releasing(held=held):
            for rank, step in held.items():
                yield rank, Release(step)
        case Clearing(version, _, held, fenced, cleared):
            unfenced = [rank for rank in held if rank not in fenced]
            if unfenced:
                for rank in unfenced:
                    yield rank, Hold(held[rank])
                return
            for rank in ranks:
                if rank not in cleared:
                    yield rank, _clearing_order(state, rank, version)


def _clearing_order(state: State, rank: str, version: int) -> Order:
    report = latest_report(state, rank)
    if report is not None and report.armed is not None:
        return Disarm(report.armed[0])
    return Prepare(version, state.layout)
