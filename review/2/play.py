"""An entry of another writer that cannot be read stands among those of the servers."""

import asyncio
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
    NotReadyError,
    Server,
    Store,
    configuration,
    free_port,
    route,
    run,
    unix_ms,
)

EVACUATION_S = 5.0  # evacuationMs
DRAIN_S = 2.0  # drainMs
DEPTH = 2_000  # lists in each other; the value has 4 KB of the store's 1 MB
RATE = 20  # requests a second at each entry
ZONES = ("zona-mixco", "zona-villa")
LEAVING = f"{ZONES[0]}-2"


def nested_value() -> bytes:
    """Return an entry whose version is of another type than the pages say."""
    version = "[" * DEPTH + "]" * DEPTH
    return (
        f'{{"service":"app","address":"127.0.0.1:9","zone":"{ZONES[0]}",'
        f'"version":{version},"slots":6,"state":"ready","coldRemainingMs":0,'
        f'"sequence":1,"born":{unix_ms()}}}'
    ).encode()


async def play(case: Case) -> int:
    """Play the case; return the exit code."""
    store = Store(case)
    await store.open()
    servers = {
        f"{zone}-{n}": Server(case, store, f"{zone}-{n}", "app", zone=zone)
        for zone in ZONES
        for n in range(3)
    }
    for server in servers.values():
        await server.open()
    store.put("op/config", configuration(3, [route("look", "app")]))
    ips = ["127.0.0.31", "127.0.0.32"]
    peers_port = free_port()
    entries = [
        Entry(case, store, f"entry-{n}", ip, peers_port, ips, zone=zone, zones=ZONES)
        for n, (ip, zone) in enumerate(zip(ips, ZONES, strict=True))
    ]
    for entry in entries:
        await entry.start()
    for entry in entries:
        await entry.wait_ready()

    asked: list[asyncio.Task] = []
    over = asyncio.Event()

    async def traffic(entry: Entry) -> None:
        client = Client(case, entry)
        while not over.is_set():
            asked.append(asyncio.create_task(client.send("/look/1")))
            await asyncio.sleep(1 / RATE)

    flows = [asyncio.create_task(traffic(entry)) for entry in entries]
    await asyncio.sleep(3.0)
    if TROUBLE:
        store.put_bytes("servers/another-writer", nested_value())
    await asyncio.sleep(4.0)
    # Planned work, while no machine, link or store is disturbed.
    evacuated = store.put(f"op/evacuate/{ZONES[1]}", {})
    drains = servers[LEAVING].register(state="draining")
    await asyncio.sleep(12.0)
    over.set()
    await asyncio.gather(*flows)
    await asyncio.gather(*asked)

    arrivals = [a for server in servers.values() for a in server.arrivals if a.ran]
    in_zone = [a for a in arrivals if a.server.startswith(ZONES[1])]
    late = sum(a.at > evacuated + EVACUATION_S for a in in_zone)
    at_leaving = [a for a in arrivals if a.server == LEAVING]
    drained = sum(a.at > drains + DRAIN_S for a in at_leaving)
    restarted = await is_ready_again(case, entries[0])
    return case.verdict(
        late > 0,
        f"{late} of {len(arrivals)} requests reached servers of the evacuated zone "
        f"later than {EVACUATION_S:.0f} s after the confirmation; beside it, {drained} "
        f"reached the server that drains later than {DRAIN_S:.0f} s (DRAIN), and a "
        "process that was killed and started again at the end was "
        f"{'ready again' if restarted else 'not ready after 15 s'}",
    )


async def is_ready_again(case: Case, entry: Entry) -> bool:
    """Return whether a process that is started again becomes ready."""
    entry.process.send_signal(signal.SIGKILL)
    await entry.process.wait()
    await entry.start()
    try:
        await entry.wait_ready(15.0)
    except NotReadyError as error:
        case.note(str(error))
        return False
    return True


run(str(FOLDER), play)
