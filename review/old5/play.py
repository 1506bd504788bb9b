"""The process that collects an entry's log stops reading for a while."""

import asyncio
import os
import pathlib
import signal
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

TIMEOUT_MS = 800  # of the route
SLACK_S = 0.5  # the rule: no answer half a second after the timeout
BEFORE_S = 4.0
STOPPED_S = 30.0
AFTER_S = 4.0
RATE = 40  # requests a second
COLLECTOR = "import sys\nfor line in sys.stdin.buffer:\n    pass\n"


async def play(case: Case) -> int:
    """Play the case; return the exit code."""
    store = Store(case)
    await store.open()
    servers = [Server(case, store, f"i-{n}", "app") for n in range(3)]
    for server in servers:
        await server.open()
    routes = [route("look", "app", timeoutMs=TIMEOUT_MS)]
    store.put("op/config", configuration(3, routes))
    reading, writing = os.pipe()
    collector = await case.start("python3", "-c", COLLECTOR, stdin=reading)
    os.close(reading)
    entry = Entry(case, store, "entry", "127.0.0.1", free_port(), [])
    await entry.start(stdout=writing)
    os.close(writing)
    await entry.wait_ready()
    client = Client(case, entry)
    late: dict[str, list[bool]] = {"before": [], "while": [], "after": []}

    async def ask(phase: str) -> None:
        wait_s = TIMEOUT_MS / 1_000 + SLACK_S
        _, reply = await client.send("/look/1", limit_ms=1_500, wait_s=wait_s)
        late[phase].append(reply.failure == "no answer in time")

    async def traffic(phase: str, length_s: float) -> None:
        asked = []
        for _ in range(int(length_s * RATE)):
            asked.append(asyncio.create_task(ask(phase)))
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*asked)

    await traffic("before", BEFORE_S)
    if TROUBLE:
        case.note("the collector of the log stops")
        collector.send_signal(signal.SIGSTOP)
    await traffic("while", STOPPED_S)
    case.note(f"says that it is ready: {await entry.is_ready()}")
    if TROUBLE:
        case.note("the collector of the log goes on")
        collector.send_signal(signal.SIGCONT)
    await asyncio.sleep(2.0)
    await traffic("after", AFTER_S)
    counts = {name: f"{sum(found)} of {len(found)}" for name, found in late.items()}
    # A process that serves answers each of these within some tens of milliseconds.
    silent = late["while"][-200:]
    return case.verdict(
        sum(silent) > len(silent) / 2,
        f"no answer 0.5 s after the route's timeout: {counts}; "
        f"{sum(silent)} of the last {len(silent)} while the collector stood",
    )


run(str(FOLDER), play)
