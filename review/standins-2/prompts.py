"""Streams with shared prompt parts, one of which crashes runners from some time on."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from small_site import STABILITY_S, configuration, now, route

CRASHES, MOST_LATE = 5, 3  # of the rule
LEAST_SOUND = 20


class Prompts(NamedTuple):
    """``shares`` are the rates of the kinds of request, ``prefix`` gives their parts.

    ``prefix`` is called with a kind and the part of the request itself. ``lookups`` is
    the rate of requests to a plain service beside them.
    """

    bad_part: str
    rate: float
    shares: dict[str, float]
    prefix: Callable[[str, str], str]
    ends_by_close: bool = False
    lookups: float = 0.0
    runners: int = 12
    trouble_from_s: float = 15.0
    length_s: float = 60.0
    seed: int = 6


def parts_of(head) -> list[str]:
    """Return the ids of all parts but the last, which belongs to the request."""
    prefix = head.header("x-nutmegslip-prompt-prefix") or ""
    return [part.partition(":")[0] for part in prefix.split(",")[:-1]]


async def is_budget_broken(site, prompts: Prompts, *, trouble: bool) -> bool:
    """Play the streams; return whether the rule on a crashing part was broken.

    Without ``trouble`` the same is played, and the part crashes no runner.
    """
    chance = random.Random(prompts.seed)
    kinds = list(prompts.shares)
    routes = [
        route(kind, "model", "streaming", resumable=True, sticky=True) for kind in kinds
    ]
    routes.append(
        route("consulta", "board", "idempotent", timeoutMs=1_500, latencyTargetMs=200)
    )
    site.store.put("op/config", configuration(routes, ["model", "board"]))
    poison = {"on": False}

    def decide(_runner, head):
        return "crash" if poison["on"] and prompts.bad_part in parts_of(head) else None

    for number in range(prompts.runners):
        runner = await site.add_runner("model", site.zones[number % 3])
        runner.decide = decide
        runner.ends_by_close = prompts.ends_by_close
    for zone in site.zones:
        board = await site.add_runner("board", zone)
        board.events, board.first_s = 0, 0.045
    for entry in site.entries:
        await entry.start()
    for entry in site.entries:
        await entry.wait_ready()

    async def client(kind: str) -> None:
        key = f"key-{chance.randrange(3)}"
        own = f"{chance.randrange(1 << 32):08x}"
        end = now() + 8.0
        for attempt, entry in enumerate(chance.sample(site.entries, 2)):
            left = end - now()
            if left < 0.2:
                return
            answer = await site.ask(
                entry,
                "POST",
                f"/{kind}/2f",
                key=key,
                timeout_s=left,
                name=site.new_id(),
                headers=[
                    ("X-Nutmegslip-Model", "m"),
                    ("X-Nutmegslip-Token-Counts", "714,139"),
                    ("X-Nutmegslip-Prompt-Prefix", prompts.prefix(kind, own)),
                ],
                body=own.encode(),
                label=f"{kind} try-{attempt + 1}",
            )
            if answer.complete and answer.status == 200:
                return
            if answer.retry_after:
                await asyncio.sleep(min(answer.retry_after, left / 3))

    async def look_up() -> None:
        while True:
            await asyncio.sleep(chance.expovariate(prompts.lookups))
            request = site.ask(
                chance.choice(site.entries),
                "GET",
                f"/consulta/{chance.randrange(1_000)}",
                key=f"key-{chance.randrange(3)}",
                timeout_s=1.5,
                name=site.new_id(),
                label="consulta",
            )
            site.spawn(request)

    if prompts.lookups:
        site.spawn(look_up())
    await asyncio.sleep(2)
    begin = now()
    while now() - begin < prompts.length_s:
        if trouble and now() - begin > prompts.trouble_from_s and not poison["on"]:
            poison["on"] = True
            site.record.add("trouble", prompts.bad_part, "crashes runners from now on")
        kind = chance.choices(kinds, prompts.shares.values())[0]
        site.spawn(client(kind))
        await asyncio.sleep(chance.expovariate(prompts.rate))
    await asyncio.sleep(8.5)
    return _judge(site, prompts)


def _judge(site, prompts: Prompts) -> bool:
    crashes = [at for at, _, _, _, how in site.runs if how == "crash"]
    site.record.add("crashes by the part:", len(crashes))
    print(f"crashes by the part: {len(crashes)}")
    if len(crashes) < CRASHES:
        return False
    bound = crashes[CRASHES - 1] + STABILITY_S
    late = [
        at
        for at, _, _, head, how in site.arrivals
        if how != "421" and at > bound and prompts.bad_part in parts_of(head)
    ]
    text = f"requests with it that reached runners after the bound: {len(late)}"
    site.record.add(text, "allowed:", MOST_LATE)
    print(text)
    _count_sound(site, prompts, crashes[0])
    return len(late) > MOST_LATE


def _count_sound(site, prompts: Prompts, from_s: float) -> None:
    """Record what became of the sound streams that began to run from a time on."""
    ran = {
        name
        for at, _, name, head, how in site.runs
        if how == "sound" and at >= from_s and prompts.bad_part not in parts_of(head)
    }
    cut = sum(not site.answers[name].complete for name in ran if name in site.answers)
    text = f"sound streams that ran from the first crash on: {len(ran)}, cut off: {cut}"
    site.record.add(text)
    print(text)
