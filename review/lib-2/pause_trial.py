"""A leaf asks for a pause; its entry lapses and comes back within the pause."""

import asyncio
import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[0]))
from deployment import HEARTBEAT_S, PARAMETERS, TROUBLE, ZONES, play, route  # noqa: E402

PAUSE = 15.0
# Time for which the leaf doesn't reach the store. Its last heartbeat was half an interval before
# it, and its next one comes half an interval after it.
CUT = 5.0
STABLE = PARAMETERS["stableWindowMs"] / 1000
ALLOWED = 2


async def run_leaf(leaf, request):
    now = leaf.system.record.now()
    if leaf.busy_at is not None and now < leaf.busy_at + 2.0:
        if leaf.until is None:
            leaf.until = now + PAUSE
        leaf.asked.setdefault(request.fields.get("x-host"), now)
        return request.answer(503, {"X-Waxwingdyke-Not-Executed": 1,
                                    "Retry-After": f"{leaf.until - now:.3f}"})
    leaf.got.append((now, request.fields.get("x-host")))
    async with leaf.free:
        await asyncio.sleep(random.uniform(0.01, 0.03))
    return request.success(leaf)


async def scenario(system):
    record = system.record
    for zone in ZONES:
        for _ in range(2):
            leaf = await system.add_leaf("gallery", zone, run_leaf)
            leaf.busy_at, leaf.until, leaf.asked, leaf.got = None, None, {}, []
    await system.start([route("portfolio-open", "/gallery/", service="gallery")])
    over = asyncio.Event()

    async def ordinary():
        tasks, number = [], 0
        while not over.is_set():
            number += 1
            host = system.hosts[number % 3]
            # Passed on by the host like any other header, so that the leaf knows which host sent.
            tasks.append(asyncio.create_task(system.call(
                host, f"/gallery/{number}", more={"X-Host": host.name})))
            await asyncio.sleep(1 / 90)
        await asyncio.gather(*tasks)

    load = asyncio.create_task(ordinary())
    await asyncio.sleep(STABLE + 1)
    paused = system.leaves[0]
    paused.busy_at = record.now()
    record(f"leaf {paused.id} is overloaded and asks for a pause")
    await asyncio.sleep(2.0 + HEARTBEAT_S / 2)
    if TROUBLE:
        record(f"leaf {paused.id} doesn't reach the store")
        # The store removes the entry after three heartbeat intervals of silence.
        await asyncio.sleep(2.5 * HEARTBEAT_S)
        await system.store.remove("servers", paused.id)
        record(f"the store removed the entry of leaf {paused.id}")
        await asyncio.sleep(CUT - 2.5 * HEARTBEAT_S)
        record(f"leaf {paused.id} reaches the store again")
        await asyncio.sleep(HEARTBEAT_S / 2)
        await paused.register()
        record(f"the entry of leaf {paused.id} is back, with the same id and start")
    await asyncio.sleep(max(0, paused.until - record.now()) + 0.5)
    over.set()
    await load
    counts = collections.Counter(
        host for at, host in paused.got
        if host in paused.asked and paused.asked[host] + 0.5 < at < paused.until)
    record.say(f"asked for a pause until {paused.until:.1f}: "
               + ", ".join(f"{h} at {t:.1f}" for h, t in paused.asked.items())
               + "; requests that came from 0.5 s later until its end: "
               + (", ".join(f"{h} {n}" for h, n in counts.items()) or "none"))
    most = max(counts.values(), default=0)
    if most > ALLOWED:
        return f"{most} requests of one host reached the leaf in its pause, allowed {ALLOWED}"
    return None


play(__file__, scenario)
