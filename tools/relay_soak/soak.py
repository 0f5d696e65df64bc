"""One run of the soak: load, faults and checks."""

import asyncio
import random
import signal

from relay_soak.hostile_peers import HostilePeers
from relay_soak.hosts import CALM_TIME, ZONES, Host, ServerPath, standin
from relay_soak.operators import COLD_RATE, Operators

SHARDS = [f"shard-{n}" for n in range(5)]
SERVER_FAULTS = ("silent", "refuses", "fails", "loses", "truncates", "doubles", "slow", "pause",
                 "down", "leaves", "pauses", "limits", "misreports")
PRODUCT_FAULTS = ("kill", "freeze", "stop", "hang_up", "store_mode", "store_path", "server_fault",
                  "server_path", "drain", "lapse", "change_routes", "forget", "caller_path",
                  "kill_all", "restore_store")
# Time in which requests to a server that announced its departure end.
DRAIN_TIME = 3.0
# Time from the first statement of a limit until it is kept, and window in which requests count.
LIMIT_NOTICE, LIMIT_WINDOW = 5.0, 4.0
# Time beyond the longest wait of a route in which an answer has to come from a host that runs; the
# scheduling delays of a busy machine are within it.
ANSWER_SLACK = 3.0


class Soak(HostilePeers, Operators):
    """One run with one seed."""

    def __init__(self, seed, options, folder):
        self.seed, self.options, self.folder = seed, options, folder
        self.random, self.problems, self.version = random.Random(seed), [], 1
        self.extra, self.calls, self.served = [], 0, 0
        self.not_run, self.once, self.host_of, self.lapsed = {}, set(), {}, set()
        self.hosts, self.fullest, self.peak_memory = [], 0.0, 0.0
        self.draw_features()

    def problem(self, text):
        if len(self.problems) < 20:
            self.problems.append(text)

    def now(self):
        return asyncio.get_running_loop().time()

    async def run(self):
        standin.Server.forget_all()
        self.store = standin.Store("127.0.0.1")
        await self.store.open()
        self.servers, self.paths = [], {}
        for service in [*SHARDS, "single", "once"]:
            for zone in ZONES:
                server = standin.Server("127.0.0.1", service, zone, 2, 0.004)
                await server.open()
                server.find_sender = self.find_sender
                server.reports = self.has("reports") and service != "once"
                path = ServerPath("127.0.0.1", lambda s=server: ("127.0.0.1", s.port),
                                  lambda: self.hosts, self.owners)
                await path.open()
                self.servers.append(server)
                self.paths[server.id] = path
                await self.register(server)
        await self.publish()
        # Runs of different seeds beside each other use different loopback networks.
        network = f"127.0.{10 + self.seed % 240}"
        seeds = [f"{network}.1", f"{network}.2"]
        self.hosts += [self.make_host(n, network, seeds) for n in range(self.options.hosts)]
        try:
            await asyncio.gather(*(host.open() for host in self.hosts))
            await asyncio.sleep(2)
            self.ends = self.now() + self.options.seconds
            faults = [asyncio.create_task(self.faults(choices)) for choices in
                      [self.product_faults()] * 2 + [self.operator_faults()] * 2]
            await self.load([*faults, asyncio.create_task(self.harass())])
            await self.calm_down()
            await self.check_memory()
        finally:
            for host in self.hosts:
                for _, writer in host.__dict__.get("kept", ()):
                    writer.close()
            await asyncio.gather(*(host.end() for host in self.hosts))
            for listener in (self.store, *self.servers, *self.paths.values(),
                             *(p for h in self.hosts for p in (h.callers, h.store))):
                listener.close()
        self.check_runs()
        self.check_quotas()
        self.check_callers()
        self.check_logs()

    def make_host(self, number, network, seeds):
        return Host(number, network, seeds, self.store, self.folder, more=self.settings())

    def find_sender(self, _request, ports):
        """The host that has the connection between the ports of a server and a proxy."""
        return self.owners.get(ports)

    async def register(self, server):
        path = self.paths[server.id]
        await self.store.put("servers", server.id, server.registration(path.port))

    async def publish(self):
        self.version += self.random.randint(1, 3)
        await self.store.put("config", "main", standin.routes(
            self.version, SHARDS, "single", "once", self.extra,
            [o.spec() for o in self.organisations] if self.has("organisations") else (),
            self.homes, COLD_RATE if self.has("cold") else None))

    # Callers

    async def load(self, faults):
        """Calls until the time is over and all faults have ended."""
        tasks = set()
        while self.now() < self.ends or not all(f.done() for f in faults):
            task = asyncio.create_task(self.call(self.random.choice(self.hosts)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / self.options.rate)
        await asyncio.gather(*tasks, *faults)

    async def call(self, host, target=None, organisation=None):
        self.calls += 1
        request = f"{self.seed:x}-{self.calls:06x}"
        restricted = ["/public/", "/home/"] if self.has("organisations") else []
        kind = target or self.random.choice(["/all/", "/all/", "/one/", "/once/"] * 2 + restricted)
        target, body = f"{kind}{request}", (b"b" * 50 if kind == "/once/" else b"")
        if kind == "/once/":
            self.once.add(request)
        self.host_of[request] = host
        more = self.prepare(request, kind, organisation)
        began, calm = self.now(), self.now() > host.disturbed_until
        try:
            answer = await asyncio.wait_for(self.exchange(host, request, target, body, more),
                                            2.0 + ANSWER_SLACK)
        except asyncio.TimeoutError:
            if calm and self.now() > host.disturbed_until:
                self.problem(f"{request} {target}: no answer of calm host {host.number} in time")
            answer = None
        status = int(answer[0].split(" ")[1]) if answer else None
        if self.is_unrestricted(request):
            # Only while the process and its callers have no fault and had none a second ago.
            if began > host.broken_until + 1.0:
                self.tries.append((began, host, status == 200, self.is_helped(host, began)))
        if answer is None:
            return None
        line, fields, content = answer
        self.check_key(request, kind, host, began, status)
        if standin.says_not_run(line):
            self.not_run[request] = self.now() - began
        elif status == 404 or status == 400:
            if not kind.startswith("/extra/"):
                self.problem(f"{request} {target}: status {status} for a route that is always there")
        elif status == 200:
            wrong = standin.check_answer(request, target, line, fields, content, SHARDS)
            if wrong:
                self.problem(f"{request} {target}: {wrong}")
            self.served += 1
        return status

    async def exchange(self, host, request, target, body, more):
        """One call on a connection of its own or a kept one; None if there was no answer."""
        kept = host.__dict__.setdefault("kept", [])
        try:
            reader, writer = kept.pop() if kept else await asyncio.open_connection(
                "127.0.0.1", host.callers.port)
            writer.write(standin.format_call(request, target, body, 2000, more))
            answer = await standin.read_message(reader)
        except (ConnectionError, OSError):
            return None
        if answer and answer[1].get("connection") != "close" and len(kept) < 8:
            kept.append((reader, writer))
        else:
            writer.close()
        return answer

    # Faults

    def product_faults(self):
        return [getattr(self, name) for name in self.options.product_faults]

    async def faults(self, choices):
        while self.now() < self.ends - 4:
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
            await self.random.choice(choices)(self.random.uniform(0.3, 3.0))

    async def kill(self, seconds):
        host = self.random.choice(self.hosts)
        host.disturb(seconds)
        await host.end()
        await asyncio.sleep(min(seconds, 1.0))
        await host.start()

    async def kill_all(self, seconds):
        for host in self.hosts:
            host.disturb(seconds)
        await asyncio.gather(*(host.end() for host in self.hosts))
        await asyncio.gather(*(host.start() for host in self.hosts))

    async def freeze(self, seconds):
        host = self.random.choice(self.hosts)
        host.disturb(seconds)
        host.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        host.send(signal.SIGCONT)
        host.interrupted_at = self.now()

    async def stop(self, _seconds):
        host = self.random.choice(self.hosts)
        if host.stopping or self.now() < host.disturbed_until:
            return
        host.stopping = True
        host.disturb(7.0)
        host.send(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(host.process.wait(), 10)
            if code not in (0, -signal.SIGKILL):
                self.problem(f"host {host.number} ended with {code} after SIGTERM")
        except asyncio.TimeoutError:
            self.problem(f"host {host.number} did not stop in 10 s")
            await host.end()
        await host.start()

    async def hang_up(self, _seconds):
        self.random.choice(self.hosts).send(signal.SIGHUP)

    async def store_mode(self, seconds):
        self.store.mode = self.random.choice(("busy", "many", "silent", "up"))
        self.store.delay = self.random.choice((0.0, 0.2))
        for host in self.hosts:
            host.disturb(seconds, of_store=True)
        self.store_downs.append((self.now(), self.now() + seconds))
        await asyncio.sleep(seconds)
        self.store.mode, self.store.delay = "up", 0.0
        self.store.reset()

    async def path(self, proxy, seconds):
        proxy.mode = self.random.choice(("cut", "one_way", "pass"))
        proxy.delay = self.random.choice((0.0, 0.05))
        if self.random.random() < 0.5:
            proxy.reset()
        await asyncio.sleep(seconds)
        proxy.mode, proxy.delay = "pass", 0.0

    async def store_path(self, seconds):
        host = self.random.choice(self.hosts)
        host.disturb(seconds, of_store=True)
        await self.path(host.store, seconds)

    async def caller_path(self, seconds):
        host = self.random.choice(self.hosts)
        host.disturb(seconds)
        await self.path(host.callers, seconds)

    async def server_path(self, seconds):
        server = self.random.choice(self.servers)
        server.path_disturbed_at = self.now() + seconds
        self.held.append((server, server.path_disturbed_at))
        await self.path(self.paths[server.id], seconds)

    async def server_fault(self, seconds):
        server = self.random.choice(self.servers)
        kind = self.random.choice(self.options.server_faults)
        longest = LIMIT_NOTICE + LIMIT_WINDOW + 2
        if kind == "limits" and self.ends - self.now() > longest:
            seconds = longest
        if kind == "slow":
            server.slowness = 10.0
        elif kind == "pause":
            server.paused_until = self.now() + 0.2
        elif kind == "down":
            server.close()
        else:
            server.fault = kind
        await asyncio.sleep(seconds if kind != "leaves" else max(seconds, DRAIN_TIME + 1))
        server.fault, server.slowness = "", 1.0
        if server.server is None:
            await server.open()
        if kind == "leaves":
            self.check_departure(server)
            server.born += 1
            await self.register(server)
        elif kind == "pauses":
            await asyncio.sleep(standin.PAUSE)
            self.check_pauses(server)
        elif kind == "limits":
            self.check_limit(server)
        server.announced.clear()

    async def repeated_refusals(self, seconds):
        """All servers of a service refuse requests, so that hosts try the same servers again."""
        service = self.random.choice(("single", "once"))
        faulty = [s for s in self.servers if s.service == service and not s.fault]
        for server in faulty:
            server.fault = "repeats"
        await asyncio.sleep(seconds)
        for server in faulty:
            if server.fault == "repeats":
                server.fault = ""

    def by_host(self, records):
        """Times of records by the host that sent their request, for hosts that ran and reached
        servers all the time since. Hosts without servers forward requests to others."""
        result = {}
        for at, request, sender in records:
            host = sender or self.host_of.get(request)
            if host and at > max(host.interrupted_at, host.cut_until):
                result.setdefault(host.number, []).append(at)
        return result

    def path_was_disturbed(self, server):
        """Whether announcements of the server may have been lost."""
        return server.announced and server.announced[0][0] < server.path_disturbed_at

    def check_departure(self, server):
        if self.path_was_disturbed(server):
            return
        requests = self.by_host(server.requests)
        for host, told in self.by_host(server.announced).items():
            late = [at - told[0] for at in requests[host] if at > told[0] + DRAIN_TIME]
            if late:
                self.problem(f"{server.id} got work of host {host} {late[-1]:.1f} s after it said "
                             "that it leaves")

    def check_pauses(self, server):
        if self.path_was_disturbed(server):
            return
        requests = self.by_host(server.requests)
        for host, told in self.by_host(server.announced).items():
            for start in told:
                count = sum(start + 0.5 < at < start + standin.PAUSE for at in requests[host])
                if count > 2:
                    self.problem(f"{server.id} got {count} requests of host {host} in its pause")

    def check_limit(self, server):
        if not server.announced or self.path_was_disturbed(server):
            return
        told = {host: times[0] for host, times in self.by_host(server.announced).items()}
        counted = sorted(at for host, times in self.by_host(server.requests).items()
                         for at in times if host in told and at > told[host] + 0.5)
        allowed = 1.5 * standin.LIMIT * LIMIT_WINDOW + 5
        for start in counted:
            count = sum(start <= at < start + LIMIT_WINDOW for at in counted)
            if start >= server.announced[0][0] + LIMIT_NOTICE and count > allowed:
                self.problem(f"{server.id} got {count} requests in {LIMIT_WINDOW} s, allowed {allowed}")
                return

    async def drain(self, seconds):
        server = self.random.choice(self.servers)
        calm = all(self.now() > h.disturbed_until for h in self.hosts)
        server.state = "draining"
        await self.register(server)
        known = self.now()
        await asyncio.sleep(max(seconds, 3.5))
        late = [at for at in server.arrivals if at > known + 3.0]
        if calm and late and all(self.now() > h.disturbed_until for h in self.hosts):
            self.problem(f"{server.id} got work {late[-1] - known:.1f} s after it was leaving")
        server.state = "ready"
        server.born += 1  # a server that left comes back as another incarnation
        await self.register(server)

    async def lapse(self, seconds):
        server = self.random.choice(self.servers)
        self.lapsed.add(server.id)
        await self.store.remove("servers", server.id)
        await asyncio.sleep(min(seconds, 2.0))
        self.lapsed.discard(server.id)
        await self.register(server)

    async def change_routes(self, _seconds):
        self.extra = [self.version] if self.random.random() < 0.7 else []
        await self.publish()

    async def forget(self, _seconds):
        await self.store.forget_history()

    async def restore_store(self, seconds):
        """The store comes back older; what operators and servers wrote is written again."""
        self.store.restore(1.0 + seconds)
        pause = self.random.uniform(0.0, 1.5)
        for host in self.hosts:
            host.store_disturbed_until = max(host.store_disturbed_until, self.now() + pause)
        self.restored_at = self.now()
        await asyncio.sleep(pause)
        for server in self.servers:
            if server.id not in self.lapsed:
                await self.register(server)
        await self.publish()
        await self.write_operators_objects()
        self.store_downs.append((self.restored_at, self.now()))

    # Checks at the end

    async def calm_down(self):
        """After the last fault every host serves, with the newest routes."""
        self.extra = [99]
        await self.publish()
        await asyncio.sleep(CALM_TIME)
        for host in self.hosts:
            host.disturb(-CALM_TIME)
            restricted = ("/public/", "/home/") if self.has("organisations") else ()
            for target in ("/all/", "/one/", "/once/", "/extra/99/", *restricted) * 3:
                status = await self.call(host, target, self.organisations[0])
                if status != 200:  # a kept connection may have ended
                    status = await self.call(host, target, self.organisations[0])
                if status != 200:
                    self.problem(f"host {host.number} answers {status} for {target} after the faults")

    def check_runs(self):
        by_request = {}
        for (request, _line, body), count in standin.Server.runs.items():
            by_request[request] = by_request.get(request, 0) + count
            if request in self.once and body != b"b" * 50:
                self.problem(f"{request} ran with another body")
        self.doubled = [request for request in self.once if by_request.get(request, 0) > 1]
        for request in self.doubled:
            self.problem(f"{request} ran {by_request[request]} times")
        for request in self.not_run:
            if by_request.get(request, 0) > 0:
                self.problem(f"{request} ran although a refusal says that it did not")
        for request in by_request:
            if not request.startswith(f"{self.seed:x}-"):
                self.problem(f"request {request!r} was not sent by a caller")
