"""Full servers refuse requests that must run once at most, and send some answers a second time.

With the disruption, a share of the servers sends a late second copy of some of their answers, in
front of the next answer on the connection. Every copy repeats the id of its request."""

import asyncio
import collections
import random

from standins import Client, Fleet, Leaf, Store, configuration, route, run_case

ZONES = {"zh-nord": "deutschschweiz", "ge-lac": "romandie", "ti-sopra": "svizzera-it"}
HOSTS = 6
SECONDS = 75
SERVICES = [f"einschreibung~{n}" for n in range(9)]
SERVERS_PER_SERVICE, SLOTS, QUEUE, WORK_S = 2, 1, 1, 0.06
# The servers of a service finish about 33 requests a second.
REQUESTS_PER_S = 48
# `garble`, `extra late` of the site file: 0.6 of the servers, 0.03 of their answers, for 5 s.
FAULTY_SHARE, COPIED_SHARE, FAULT_S, FAULT_EVERY_S = 0.6, 0.03, 5.0, 10.0
# Bounds of vsb-suche that differ from those of lavagna.
SITE_BOUNDS = {"drainMs": 4000, "configApplyMs": 4000, "retryBudgetBase": 54}
NOT_RUN_STATUS = {408, 421, 429, 503}


class CopyingLeaf(Leaf):
    """Sends some answers a second time, where the next answer on the connection is expected."""

    is_faulty = False

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.copies = {}

    async def before_answer(self, request, writer):
        copied, answer = self.copies.pop(writer, (None, None))
        if answer is not None:
            self.record.add("server", self.name, "sends a late copy of its answer to", copied,
                            "before its answer to", request)
            writer.write(answer)

    async def send(self, request, answer, writer):
        await super().send(request, answer, writer)
        is_disturbed = self.is_faulty and self.record.now() % FAULT_EVERY_S < FAULT_S
        if is_disturbed and random.random() < COPIED_SHARE:
            self.copies[writer] = (request, answer)


async def scenario(record, folder, trouble):
    store = Store(record)
    await store.open()
    zones = list(ZONES)
    leafs = [CopyingLeaf(record, store, f"i-{s}{n:03d}", service, zones[(s + n) % len(zones)],
                         SLOTS, WORK_S, queue=QUEUE)
             for s, service in enumerate(SERVICES) for n in range(SERVERS_PER_SERVICE)]
    for leaf in leafs:
        await leaf.open()
    for leaf in random.sample(leafs, int(FAULTY_SHARE * len(leafs))):
        leaf.is_faulty = trouble
    routes = [route(f"r-{s}", "kreise.example", f"/anmeldung{s}/", service=service,
                    type="non_idempotent", timeoutMs=3000, targetLatencyMs=300)
              for s, service in enumerate(SERVICES)]
    store.put("config", "main", configuration(7, routes, SERVICES, connections=39))
    fleet = Fleet(HOSTS, ZONES, store, folder)
    for host in fleet.hosts:
        host.fields["contractParams"].update(SITE_BOUNDS)
    client = Client(record, "kreise.example")
    answers = {}
    try:
        await fleet.start()
        if not await fleet.wait_ready(10):
            raise RuntimeError("hosts are not ready")

        async def call(number):
            request = f"{number:016x}"
            answer = await client.call(random.choice(fleet.hosts), request,
                                       f"/anmeldung{number % len(SERVICES)}/{number}", b"seat",
                                       3000)
            answers[request] = answer and answer[0]

        calls = []
        ends = asyncio.get_running_loop().time() + SECONDS
        while asyncio.get_running_loop().time() < ends:
            calls.append(asyncio.create_task(call(len(calls))))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S * len(SERVICES)))
        await asyncio.gather(*calls)
        await asyncio.sleep(1)
    finally:
        client.close()
        await fleet.end()
        for listener in (store, *leafs):
            listener.close()
    runs = collections.Counter(request for leaf in leafs for _, request in leaf.runs)
    record.add("answers:", dict(collections.Counter(answers.values())), "runs:",
               sum(runs.values()))
    breaches = [f"TWICE: {request} ran {count} times" for request, count in runs.items()
                if count > 1]
    # The same fault; the claim is about TWICE.
    breaches += [f"REFUSED: {request} was answered {answers[request]} and has run"
                 for request in runs if answers[request] in NOT_RUN_STATUS]
    return breaches


run_case(scenario)
