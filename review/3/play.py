"""One server of a service sends a body without end, in pieces of a token's size."""

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
    Message,
    Server,
    Store,
    configuration,
    free_port,
    route,
    run,
    start_flood,
    stream_events,
)

LENGTH_S = 25.0
RATE = 10  # requests a second, of each kind
LOOK_TIMEOUT_S = 0.8  # timeoutMs of the plain route
SLACK_S = 0.5  # the rule: no answer half a second after the timeout
MIN_LATE = 8
EVENTS, PAUSE_S = 28, 0.04
CHUNK_BYTES = 64
SERVERS, SLOTS = 12, 6


async def play(case: Case) -> int:
    """Play the case; return the exit code."""
    store = Store(case)
    await store.open()

    async def work(_server: Server, request: Message, writer) -> bool:
        await stream_events(request, writer, EVENTS, PAUSE_S)
        return True

    servers = [Server(case, store, f"app-{n}", "app", slots=SLOTS) for n in range(3)]
    sound = SERVERS - 1 if TROUBLE else SERVERS
    servers += [
        Server(case, store, f"model-{n}", "model", slots=SLOTS, work=work)
        for n in range(sound)
    ]
    for server in servers:
        await server.open()
    if TROUBLE:
        await start_flood(case, store, "model-bad", "text/event-stream", CHUNK_BYTES)
    streams = route(
        "ask",
        "model",
        kind="streaming",
        timeoutMs=8_000,
        latencyTargetMs=400,
        gapTargetMs=120,
        priority=1,
        resumable=True,
        sticky=True,
    )
    look = route("look", "app", timeoutMs=int(LOOK_TIMEOUT_S * 1_000))
    store.put("op/config", configuration(3, [look, streams]))
    entry = Entry(case, store, "entry", "127.0.0.1", free_port(), [])
    await entry.start()
    await entry.wait_ready()
    client = Client(case, entry)
    asked: list[asyncio.Task] = []
    looked: list[asyncio.Task] = []
    end = case.now() + LENGTH_S
    while case.now() < end:
        stream = client.send("/ask/1", method="POST", body=b"prompt", limit_ms=8_000)
        asked.append(asyncio.create_task(stream))
        look_up = client.send("/look/1", wait_s=LOOK_TIMEOUT_S + SLACK_S)
        looked.append(asyncio.create_task(look_up))
        await asyncio.sleep(1 / RATE)
    replies = [reply for _, reply in await asyncio.gather(*looked)]
    await asyncio.gather(*asked)
    late = [reply for reply in replies if reply.took_s > LOOK_TIMEOUT_S]
    silent = [reply for reply in late if reply.failure == "no answer in time"]
    served = sum(reply.status == 200 for reply in replies)
    return case.verdict(
        len(late) >= MIN_LATE and len(silent) > len(late) / 2,
        f"of {len(replies)} look-ups, which go to servers of another service, "
        f"{served} were served, {len(late)} had no answer at the route's timeout, and "
        f"{len(silent)} of these none half a second later",
    )


run(str(FOLDER), play)
