"""A request crashes each server that runs it, once part of its answer was sent."""

import asyncio
import os
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
)

STABILITY_S = 3.0  # stabilityWindowMs
MAX_RETRIES = 3  # the rule
DOWN_S = 2.0  # "the runner is back after some seconds"
LENGTH_S = 40.0
SERVERS = 3
PATH = "/look/deadly"
PUSH_WORK_S = 0.045  # as on the sheet
EARLY = os.environ.get("EARLY") == "1"  # the crash comes before any byte


async def play(case: Case) -> int:
    """Play the case; return the exit code."""
    store = Store(case)
    await store.open()

    async def work(server: Server, request: Message, writer) -> bool:
        if request.first[0] == "POST":
            await asyncio.sleep(PUSH_WORK_S)
            return False
        if not TROUBLE or request.first[1] != PATH:
            return False
        await asyncio.sleep(0.02)
        if not EARLY:
            name = request.headers["x-nutmegslip-request-id"]
            head = (
                f"HTTP/1.1 200 OK\r\ncontent-length: 800\r\n"
                f"x-nutmegslip-request-id: {name}\r\n"
                "x-nutmegslip-response-seal: 0123456789abcdef\r\n\r\n"
            )
            writer.write(head.encode() + b"x" * 200)
            await writer.drain()
            await asyncio.sleep(0.05)
        case.keep(asyncio.create_task(server.crash(DOWN_S)))
        await asyncio.sleep(1.0)
        return True

    servers = [Server(case, store, f"i-{n}", "app", work=work) for n in range(SERVERS)]
    for server in servers:
        await server.open()
    tenants = [
        {"name": "tenant-a", "apiKeys": ["key-a"]},
        {"name": "tenant-b", "apiKeys": ["key-b"]},
    ]
    push = route("push", "app", kind="non_idempotent", attempts=1)
    routes = [route("look", "app"), push]
    store.put("op/config", configuration(3, routes, tenants=tenants))
    entry = Entry(case, store, "entry", "127.0.0.1", free_port(), [])
    await entry.start()
    await entry.wait_ready()
    client = Client(case, entry)
    asked: list[asyncio.Task] = []
    sound: list[int] = []
    pushed: list[int] = []

    async def ask_sound(number: int) -> None:
        _, reply = await client.send(f"/look/{number}", key="key-b")
        sound.append(reply.status)

    async def ask_push(number: int) -> None:
        body = b"list %d" % number
        _, reply = await client.send("/push/1", key="key-b", method="POST", body=body)
        pushed.append(reply.status)

    number = 0
    end = case.now() + LENGTH_S
    while case.now() < end:
        if number % 30 == 0:  # every 1.5 s
            asked.append(asyncio.create_task(client.send(PATH, key="key-a")))
        number += 1
        asked.append(asyncio.create_task(ask_sound(number)))
        asked.append(asyncio.create_task(ask_push(number)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*asked)
    crashes = sorted(at for server in servers for at in server.crashes)
    arrivals = [a for s in servers for a in s.arrivals if a.path == PATH and a.ran]
    bound = crashes[2] + STABILITY_S if len(crashes) > 2 else end
    late = [a for a in arrivals if a.at > bound]
    first = {a.request: a for a in sorted(arrivals, reverse=True)}
    repeats = [a for a in late if a is not first[a.request]]
    served = sum(status == 200 for status in sound)
    refused = sum(status == 503 for status in pushed)
    lost = len(pushed) - refused - sum(status == 200 for status in pushed)
    return case.verdict(
        len(repeats) > MAX_RETRIES,
        f"the request has crashed {len(crashes)} servers; later than "
        f"{STABILITY_S:.0f} s after the third crash it reached servers {len(late)} "
        f"times, {len(repeats)} of them as the entry's own retry; "
        f"{served} of {len(sound)} sound look-ups were served; of {len(pushed)} "
        f"sound pushes, which can't be repeated, {lost} were broken off and {refused} "
        "refused",
    )


run(str(FOLDER), play)
