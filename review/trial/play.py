"""A process that was cut off from the store reads many large versions afterwards."""

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
    serve,
)

PROPAGATION_S, STABILITY_S = 3.0, 4.0
LINK_BYTES_PER_S = 40_000_000 / 8  # linkMbps 40 of the grown sites
CUT_S = 5.5  # core_cut of the site file
IDLE_ROUTES = 240 + 1_400
STORM_S, GAP_S = 4.0, 0.33


class Link:
    """The path of one machine to the store."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._target = host, int(port)
        self.address = ""
        self.up = asyncio.Event()
        self.up.set()

    async def open(self) -> None:
        """Listen."""
        server = await serve(self._serve)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader, writer) -> None:
        await self.up.wait()
        back_reader, back_writer = await asyncio.open_connection(*self._target)
        try:
            await asyncio.gather(
                self._copy(reader, back_writer, 1e12),
                self._copy(back_reader, writer, LINK_BYTES_PER_S),
            )
        finally:
            back_writer.close()

    async def _copy(self, reader, writer, rate: float) -> None:
        while data := await reader.read(20_000):
            await self.up.wait()
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(len(data) / rate)
        writer.close()


async def play(case: Case) -> int:
    """Play the case; return the exit code."""
    store = Store(case)
    await store.open()
    link = Link(store.address)
    await link.open()
    servers = [Server(case, store, f"i-{n}", "app") for n in range(3)]
    for server in servers:
        await server.open()
    idle = [
        route(
            f"r-{n:05d}/x{n:07x}",
            "app",
            public=False,
            sticky=False,
            host="abcde12.example",
            protocol="h1",
        )
        for n in range(IDLE_ROUTES)
    ]
    tenants = [{"name": "tenant-a", "apiKeys": ["key-a", "key-b"]}]
    routes = [route("look", "app"), *idle]
    store.put("op/config", configuration(3, routes, tenants=tenants))

    class ViaLink:
        address = link.address

    entry = Entry(case, ViaLink, "entry", "127.0.0.1", free_port(), [])
    await entry.start()
    await entry.wait_ready()
    client = Client(case, entry)
    sent = []
    asked = []
    over = asyncio.Event()

    async def ask() -> None:
        at = case.now()
        request, reply = await client.send("/look/1", key="key-b")
        sent.append((at, request, reply.status))

    async def traffic() -> None:
        while not over.is_set():
            asked.append(asyncio.create_task(ask()))
            await asyncio.sleep(0.1)

    flow = asyncio.create_task(traffic())
    await asyncio.sleep(4.0)
    if TROUBLE:
        link.up.clear()
        case.note("cut")
    await asyncio.sleep(1.0)
    tenants[0]["apiKeys"] = ["key-a"]
    version, revoked = 3, 0.0
    began = case.now()
    while case.now() < began + STORM_S:
        version += 2
        changed = store.put(
            "op/config", configuration(version, routes, tenants=tenants)
        )
        revoked = changed if version == 5 else revoked
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(max(CUT_S - 1.0 - STORM_S, 0))
    link.up.set()
    healed = case.now()
    case.note(f"healed; versions {version}")
    await asyncio.sleep(25.0)
    over.set()
    await flow
    await asyncio.gather(*asked)
    ran = {a.request for s in servers for a in s.arrivals if a.ran}
    bound = max(healed + STABILITY_S if TROUBLE else 0, revoked + PROPAGATION_S)
    late = [at for at, request, _ in sent if at > bound and request in ran]
    return case.verdict(
        bool(late),
        f"{len(late)} requests with the key that was taken away ran, sent up to "
        f"{max(late, default=0) - bound:.1f} s after the bound",
    )


run(str(FOLDER), play)
