"""After a lull a caller's prompts come back, most of them with a crashing second part.

The first part is innocent: the caller's sound prompts have it too.
"""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-2"))

from prompts import parts_of
from small_site import STABILITY_S, TROUBLE, configuration, now, play, route

FIRST, BAD = "5c1e07a2", "91bd3f06"  # the ids of the example on the page
OTHERS = ("77aa01c3", "b9be44d0", "c21f9e05", "d7730b1c")
OTHER_RATE, SOUND_RATE, BAD_RATE = 28.0, 1.0, 6.0
CALM_UNTIL_S, BAD_FROM_S, SOUND_AGAIN_S, END_S = 30.0, 52.0, 57.0, 98.0
LEAST = 20


async def case(site) -> bool:
    """Return whether the rule was broken."""
    chance = random.Random(10)
    kept = route("adviento", "model", "streaming", resumable=True, sticky=True)
    site.store.put("op/config", configuration([kept], ["model"]))

    def decide(_runner, head):
        return "crash" if BAD in parts_of(head) else None

    for number in range(12):
        runner = await site.add_runner("model", site.zones[number % 3])
        runner.decide = decide
    for entry in site.entries:
        await entry.start()
    for entry in site.entries:
        await entry.wait_ready()
    await asyncio.sleep(2)
    firsts: list[tuple[float, str, bool]] = []

    async def client(key: str, parts: tuple[str, ...], label: str) -> None:
        own = f"{chance.randrange(1 << 32):08x}"
        prefix = ",".join([*(f"{part}:400" for part in parts), f"{own}:250"])
        end = now() + 8.0
        for attempt, entry in enumerate(chance.sample(site.entries, 2)):
            left = end - now()
            if left < 0.2:
                return
            sent = now()
            answer = await site.ask(
                entry,
                "POST",
                "/adviento/2f",
                key=key,
                timeout_s=left,
                name=site.new_id(),
                headers=[
                    ("X-Nutmegslip-Model", "m"),
                    ("X-Nutmegslip-Token-Counts", "1050,139"),
                    ("X-Nutmegslip-Prompt-Prefix", prefix),
                ],
                body=own.encode(),
                label=f"{label} try-{attempt + 1}",
            )
            done = answer.complete and answer.status == 200
            if not attempt:
                firsts.append((sent, label, done))
            if done:
                return
            if answer.retry_after:
                await asyncio.sleep(min(answer.retry_after, left / 3))

    begin = now()

    async def send(rate: float, from_s: float, to_s: float, label: str) -> None:
        await asyncio.sleep(from_s)
        while now() - begin < to_s:
            steady = label == "sound"  # so that there are enough of them to compare
            await asyncio.sleep(1 / rate if steady else chance.expovariate(rate))
            if label == "other":
                key, parts = f"key-{chance.randrange(1, 3)}", (chance.choice(OTHERS),)
            else:
                key, parts = "key-0", (FIRST, BAD) if label == "bad" else (FIRST,)
            site.spawn(client(key, parts, label))

    site.spawn(send(OTHER_RATE, 0.0, END_S, "other"))
    site.spawn(send(SOUND_RATE, 0.0, CALM_UNTIL_S, "sound"))
    site.spawn(send(SOUND_RATE, SOUND_AGAIN_S, END_S, "sound"))
    if TROUBLE:
        site.spawn(send(BAD_RATE, BAD_FROM_S, END_S, "bad"))
    await asyncio.sleep(END_S + 5.0)
    return judge(site, begin, firsts)


def judge(site, begin: float, firsts: list[tuple[float, str, bool]]) -> bool:
    """Compare how often the caller's sound requests began at the first attempt."""
    crashes = [at for at, _, _, _, how in site.runs if how == "crash"]
    from_s = begin + BAD_FROM_S
    if crashes:
        from_s = crashes[:5][-1] + 2 * STABILITY_S
    sound = [(sent, done) for sent, label, done in firsts if label == "sound"]
    calm = [done for sent, done in sound if sent < begin + CALM_UNTIL_S]
    late = [done for sent, done in sound if sent > from_s]
    text = (
        f"crashes {len(crashes)}; sound requests of the caller that began at the first "
        f"attempt: {sum(calm)} of {len(calm)} before, {sum(late)} of {len(late)} from "
        "twice the stability window after the fifth or last crash on"
    )
    print(text)
    site.record.add(text)
    if len(calm) < LEAST or len(late) < LEAST:
        raise RuntimeError("too few sound requests to compare")
    return sum(late) / len(late) < sum(calm) / len(calm) / 2


play(pathlib.Path(__file__).resolve().parent, case)
