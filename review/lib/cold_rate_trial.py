"""Trial, not a case: all hosts are killed and start again while the servers of a service are cold.

Counts as FAILBACK does: requests that were sent and arrived at a cold server inside one second.
    SEED=1 PYTHONPATH=review/lib python3 review/lib/cold_rate_trial.py
HOSTS, COLD_PER_S and RATE change the size; with TROUBLE=0 no host is killed."""

import asyncio
import os
import random

from standins import Client, Fleet, Leaf, Store, configuration, route, run_case

ZONES = {"palermo-nord": "palermo", "catania-porto": "catania", "agrigento-valle": "agrigento"}
HOSTS = int(os.environ.get("HOSTS", 12))
COLD_PER_S = float(os.environ.get("COLD_PER_S", 2))
REQUESTS_PER_S = float(os.environ.get("RATE", 200))
SERVICE = "gallery"
COLD_OVERAGE, COLD_SLACK, WARM_UP_S = 1.5, 5, 30


class ColdLeaf(Leaf):
    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.arrivals = []

    def entry(self, state):
        return {**super().entry(state), "coldRemainingMs": WARM_UP_S * 1000}

    async def handle(self, method, target, request, fields, body):
        self.arrivals.append((request, self.record.now()))
        return await super().handle(method, target, request, fields, body)


async def scenario(record, folder, trouble):
    store = Store(record)
    await store.open()
    zones = list(ZONES)
    leafs = [ColdLeaf(record, store, f"i-{n:04d}", SERVICE, zones[n % len(zones)], 4, 0.02)
             for n in range(6)]
    for leaf in leafs:
        await leaf.open()
    document = configuration(7, [route("r", "gallery.example", "/portfolio/", service=SERVICE)],
                             [SERVICE], connections=550)
    document["services"][0].update(coldPerS=COLD_PER_S, warmupS=WARM_UP_S)
    store.put("config", "main", document)
    fleet = Fleet(HOSTS, ZONES, store, folder)
    for host in fleet.hosts:
        host.fields["contractParams"].update(coldOverage=COLD_OVERAGE, coldSlack=COLD_SLACK,
                                             evacuateMs=5000)
    client, sent, calls = Client(record, "gallery.example"), {}, []
    try:
        await fleet.start()
        if not await fleet.wait_ready(10):
            raise RuntimeError("hosts are not ready")

        async def send_for(seconds):
            ends = asyncio.get_running_loop().time() + seconds
            while asyncio.get_running_loop().time() < ends:
                request = f"{len(calls):016x}"
                sent[request] = record.now()
                calls.append(asyncio.create_task(client.call(
                    random.choice(fleet.hosts), request, f"/portfolio/{len(calls)}")))
                await asyncio.sleep(random.expovariate(REQUESTS_PER_S))

        await send_for(4)
        if trouble:
            record.add("all processes are killed and started again")
            await fleet.end()
            await asyncio.gather(fleet.start(), send_for(5))
        else:
            await send_for(5)
        await asyncio.gather(*calls)
    finally:
        client.close()
        await fleet.end()
        for listener in (store, *leafs):
            listener.close()
    most = 0
    for leaf in leafs:
        pairs = sorted((sent[request], at) for request, at in leaf.arrivals)
        for number, (first, _) in enumerate(pairs):
            most = max(most, sum(at < first + 1 for _, at in pairs[number:]))
    bound = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
    record.add(f"most requests of a cold server in a second: {most}, allowed {bound}")
    print(f"most {most}, allowed {bound}")
    return [f"FAILBACK: {most} requests in a second, allowed {bound}"] if most > bound else []


run_case(scenario)
