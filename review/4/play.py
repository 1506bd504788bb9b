"""One server sends a body without end in small chunks; the platform limits memory."""

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

MEMORY_MB = 300  # limits.memoryMb: a process that exceeds it is killed
RESTART_S = 0.5
LENGTH_S = 80.0
RATE = 10  # streams a second at each entry
MIN_ENDS, MIN_MACHINES = 3, 2  # the rule
EVENTS, PAUSE_S = 28, 0.04
SERVERS, SLOTS, CHUNK_BYTES = 12, 6, 2


async def play(case: Case) -> int:
    """Play the case; return the exit code."""
    store = Store(case)
    await store.open()

    async def work(_server: Server, request: Message, writer) -> bool:
        await stream_events(request, writer, EVENTS, PAUSE_S)
        return True

    sound = SERVERS - 1 if TROUBLE else SERVERS
    servers = [
        Server(case, store, f"model-{n}", "model", slots=SLOTS, work=work)
        for n in range(sound)
    ]
    for server in servers:
        await server.open()
    if TROUBLE:
        await start_flood(
            case, store, "model-bad", "application/octet-stream", CHUNK_BYTES
        )
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
    store.put("op/config", configuration(3, [streams]))
    peers_port = free_port()
    ips = ["127.0.0.21", "127.0.0.22"]
    entries = [
        Entry(case, store, f"entry-{n}", ip, peers_port, ips)
        for n, ip in enumerate(ips)
    ]
    for entry in entries:
        await entry.start()
    for entry in entries:
        await entry.wait_ready()
    end = case.now() + LENGTH_S
    ends = dict.fromkeys(ips, 0)
    peaks = dict.fromkeys(ips, 0.0)

    async def limit_memory(entry: Entry) -> None:
        while case.now() < end:
            await asyncio.sleep(0.02)
            now_mb, _ = entry.memory_mb()
            peaks[entry.ip] = max(peaks[entry.ip], now_mb)
            if now_mb <= MEMORY_MB:
                continue
            ends[entry.ip] += 1
            case.note(f"entry {entry.ip} exceeds its memory at {now_mb:.0f} MB: killed")
            entry.process.send_signal(signal.SIGKILL)
            await entry.process.wait()
            await asyncio.sleep(RESTART_S)
            await entry.start()

    async def traffic(entry: Entry) -> None:
        client = Client(case, entry)
        asked = []
        while case.now() < end:
            stream = client.send(
                "/ask/1", method="POST", body=b"prompt", limit_ms=8_000
            )
            asked.append(asyncio.create_task(stream))
            await asyncio.sleep(1 / RATE)
        replies = await asyncio.gather(*asked)
        served = sum(reply.status == 200 for _, reply in replies)
        case.note(f"entry {entry.ip}: {served} of {len(replies)} streams were served")

    await asyncio.gather(*map(limit_memory, entries), *map(traffic, entries))
    over = [ip for ip, count in ends.items() if count >= MIN_ENDS]
    return case.verdict(
        len(over) >= MIN_MACHINES,
        f"killed for more than {MEMORY_MB} MB: {ends}; "
        f"most MB seen: { {ip: round(peak) for ip, peak in peaks.items()} }",
    )


run(str(FOLDER), play)
