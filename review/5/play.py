"""A version of the configuration holds no client account any more."""

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


async def play(case: Case) -> int:
    """Play the case; return the exit code."""
    store = Store(case)
    await store.open()
    servers = [Server(case, store, f"i-{n}", "app") for n in range(3)]
    for server in servers:
        await server.open()
    routes = [
        route("look", "app"),
        route("send", "app", kind="non_idempotent", attempts=1),
    ]
    tenants = [{"name": "tenant-a", "apiKeys": ["key-a"]}]
    store.put("op/config", configuration(3, routes, tenants=tenants))
    entry = Entry(case, store, "entry", "127.0.0.1", free_port(), [])
    await entry.start()
    await entry.wait_ready()
    client = Client(case, entry)
    _, reply = await client.send("/look/1", key="key-a")
    if reply.status != 200:
        case.note("the key is not served before it is taken away")
        return 2
    if TROUBLE:
        store.put("op/config", configuration(5, routes, tenants=[]))
    await asyncio.sleep(PROPAGATION_S + 1.0)
    keys = [None, "key-never"] + (["key-a"] if TROUBLE else [])
    wrong = []
    for _ in range(5):
        for key in keys:
            for path, method, body in (
                ("/look/1", "GET", b""),
                ("/send/1", "POST", b"list"),
            ):
                request, _ = await client.send(path, key=key, method=method, body=body)
                wrong.append(request)
    ran = {a.request for server in servers for a in server.arrivals if a.ran}
    return case.verdict(
        bool(ran & set(wrong)),
        f"{len(ran & set(wrong))} of {len(wrong)} requests without a key that any "
        "version in force holds ran",
    )


run(str(FOLDER), play)
