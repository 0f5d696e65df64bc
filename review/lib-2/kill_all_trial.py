"""A fan-out that crashes its leafs is quarantined; then the processes of all hosts are killed."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[0]))
from deployment import PARAMETERS, TROUBLE, ZONES, play, route  # noqa: E402

DEADLY = "/briefs/match/deadly"
BACK_AFTER = 3.0
RETRIES_ALLOWED = 3
STABLE = PARAMETERS["stableWindowMs"] / 1000
SHARDS = [f"brief-desk-{n}" for n in range(5)]
# Pause between two client attempts with the query; all leafs are back by then.
PAUSE = STABLE + 1.5

crashed = []


async def run_leaf(leaf, request):
    async with leaf.free:
        if request.path == DEADLY:
            await asyncio.sleep(0.005)
            crashed.append((leaf.system.record.now(), request.id))
            leaf.crash(BACK_AFTER)
            return None
        await asyncio.sleep(random.uniform(0.005, 0.015))
    return request.success(leaf)


async def scenario(system):
    record = system.record
    for shard in SHARDS:
        for zone in ZONES:
            await system.add_leaf(shard, zone, run_leaf, slots=2)
    await system.start([route("brief-match", "/briefs/", gather=SHARDS, topK=20, minCoverage=0.8,
                              targetLatencyMs=150)])
    over = asyncio.Event()
    statuses = []

    async def ordinary():
        tasks, number = [], 0
        while not over.is_set():
            async def one(path):
                statuses.append((await system.call(random.choice(system.hosts), path))[0])
            number += 1
            tasks.append(asyncio.create_task(one(f"/briefs/other/{number}")))
            await asyncio.sleep(1 / 20)
        await asyncio.gather(*tasks)

    async def send(count):
        for _ in range(count):
            sent.append(record.now())
            status, _, _ = await system.call(system.hosts[len(sent) % 3], DEADLY)
            record(f"the query got {status}")
            await asyncio.sleep(PAUSE)

    sent = []
    load = asyncio.create_task(ordinary())
    await asyncio.sleep(STABLE + 1)
    await send(5)
    if TROUBLE:
        await asyncio.gather(*(host.kill() for host in system.hosts))
        await asyncio.sleep(1)
        await system.start_hosts()
    await asyncio.sleep(STABLE + 1)
    await send(5)
    over.set()
    await load
    third = crashed[2][0] if len(crashed) > 2 else None
    late = {request for at, request in crashed if third and at > third + STABLE}
    record.say(f"crashes of leafs: {len(crashed)}, client attempts with the query: {len(sent)}, "
               f"of these run by leafs over {STABLE:.0f} s after the third crash: {len(late)}")
    if len(late) > RETRIES_ALLOWED:
        return (f"{len(late)} retries of a query that had crashed three leafs reached leafs, "
                f"allowed {RETRIES_ALLOWED}")
    return None


play(__file__, scenario)
