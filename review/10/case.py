"""A query crashes each leaf that runs it; the leafs go dark, without a reset."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from deployment import PARAMETERS, TROUBLE, ZONES, play, route  # noqa: E402

DEADLY = "/gallery/portfolio/4711"
DEADLINE_MS = 800
# A leaf is back some seconds after it has crashed.
BACK_AFTER = 4.0
RETRIES_ALLOWED = 3
STABLE = PARAMETERS["stableWindowMs"] / 1000

crashed = []


async def run_leaf(leaf, request):
    if leaf.dark:
        return None
    if request.path == DEADLY and TROUBLE:
        await asyncio.sleep(0.005)
        crashed.append((leaf.system.record.now(), request.id))
        if not leaf.dark:
            leaf.dark = True
            leaf.system.record(f"leaf {leaf.id} crashed and is dark")
            asyncio.get_running_loop().call_later(BACK_AFTER, lambda: leaf.crash(0))
        return None
    async with leaf.free:
        await asyncio.sleep(random.uniform(0.02, 0.04))
    # What runs when the leaf goes dark is not answered.
    return None if leaf.dark else request.success(leaf)


async def scenario(system):
    record = system.record
    for number in range(12):
        leaf = await system.add_leaf("gallery", list(ZONES)[number % 3], run_leaf)
        leaf.dark = False
    await system.start([route("portfolio-open", "/gallery/", service="gallery",
                              targetLatencyMs=150, timeoutMs=DEADLINE_MS)])
    ends = record.now() + 60
    others = []

    async def ordinary():
        tasks, number = [], 0
        while record.now() < ends:
            async def one(path):
                others.append((await system.call(random.choice(system.hosts), path,
                                                 DEADLINE_MS))[0])
            number += 1
            tasks.append(asyncio.create_task(one(f"/gallery/other/{number}")))
            await asyncio.sleep(1 / 40)
        await asyncio.gather(*tasks)

    load = asyncio.create_task(ordinary())
    await asyncio.sleep(STABLE + 1)
    sent = 0
    while record.now() < ends - 3:
        status, _, _ = await system.call(system.hosts[sent % 3], DEADLY, DEADLINE_MS)
        sent += 1
        record(f"the query got {status}")
        await asyncio.sleep(3.0)
    await load
    third = crashed[2][0] if len(crashed) > 2 else None
    late = {request for at, request in crashed if third and at > third + STABLE}
    lost = sum(status not in (200, 503, 429) for status in others)
    record.say(f"crashes of leafs: {len(crashed)}, client attempts with the query: {sent}, "
               f"of these run by leafs over {STABLE:.0f} s after the third crash: {len(late)}; "
               f"other requests: {len(others)}, {lost} of them failed")
    if len(late) > RETRIES_ALLOWED:
        return (f"{len(late)} retries of a query that had crashed three leafs reached leafs, "
                f"allowed {RETRIES_ALLOWED}")
    return None


play(__file__, scenario)
