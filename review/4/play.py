"""The store loses one answer, the one that tells an entry of a revoked key."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.site import (  # noqa: E402
    TROUBLE,
    Case,
    Client,
    Entry,
    Server,
    Store,
    configuration,
    free_port,
    route,
    run,
)

PROPAGATION_S = 2.0  # configPropagationMs
STABILITY_S = 3.0  # stabilityWindowMs
CYCLES = 5
GAP_S = 0.4  # between the two versions of a cycle
RATE = 20  # requests a second with the revoked key


def version(number: int, revoked: int) -> dict:
    """Return a version in which the first ``revoked`` keys are gone."""
    keys = [f"key-{n}" for n in range(CYCLES) if n >= revoked]
    tenants = [
        {"name": "tenant-a", "apiKeys": keys},
        {"name": "tenant-b", "apiKeys": ["key-b"]},
    ]
    return configuration(number, [route("look", "app")], tenants=tenants)


async def play(case: Case) -> int:
    """Play the case; return the exit code."""
    store = Store(case)
    await store.open()
    servers = [Server(case, store, f"i-{n}", "app") for n in range(3)]
    for server in servers:
        await server.open()
    store.put("op/config", version(3, 0))
    entry = Entry(case, store, "entry", "127.0.0.1", free_port(), [])
    await entry.start()
    await entry.wait_ready()
    client = Client(case, entry)
    # By request: when it was sent, and from when on its key must not be served.
    sent: dict[str, tuple[float, float]] = {}

    async def ask(key: str, bound: float) -> None:
        at = case.now()
        request, _ = await client.send("/look/1", key=key)
        sent[request] = (at, bound)

    for cycle in range(CYCLES):
        await asyncio.sleep(3.0)
        store.put("op/config", version(10 * cycle + 10, cycle))
        await asyncio.sleep(GAP_S - 0.1)
        store.loses_answers = TROUBLE
        if TROUBLE:
            case.note("the store begins to lose answers")
        await asyncio.sleep(0.1)
        confirmed = store.put("op/config", version(10 * cycle + 13, cycle + 1))
        await asyncio.sleep(0.1)
        store.loses_answers = False
        ended = case.now()
        case.note("the store loses no more answers")
        bound = confirmed + PROPAGATION_S
        if TROUBLE:
            bound = max(bound, ended + STABILITY_S)
        asked = []
        while case.now() < ended + 5.0:
            asked.append(asyncio.create_task(ask(f"key-{cycle}", bound)))
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*asked)
    ran = {a.request for server in servers for a in server.arrivals if a.ran}
    late = {
        request: at - bound
        for request, (at, bound) in sent.items()
        if request in ran and at > bound
    }
    due = sum(at > bound for at, bound in sent.values())
    for request, over_s in late.items():
        case.note(f"{request} ran; sent {over_s:.3f} s after the bound")
    return case.verdict(
        bool(late),
        f"{len(late)} of {due} requests that were sent after the bound ran with a "
        f"dropped key, up to {max(late.values(), default=0):.3f} s after it; "
        f"{store.lost} answers were lost",
    )


run(str(FOLDER), play)
