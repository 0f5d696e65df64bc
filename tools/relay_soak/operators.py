"""What operators and organisations do in the soak, cuts of single hosts, and the checks of both."""

import asyncio
import collections
import dataclasses
import math
import re

from relay_soak.hostile_peers import MEMORY
from relay_soak.hosts import TEMPLATE, ZONES, standin

FEATURES = ("organisations", "evacuations", "cold", "reports", "observations")
REGIONS = {zone: f"r{number}" for number, zone in enumerate(ZONES)}
# Time from the acknowledgement of the store until keys and evacuations are in force.
APPLY_TIME = 5.0
QUOTA_WINDOW, QUOTA_OVERAGE, QUOTA_SLACK = 5.0, 0.1, 20
COLD_RATE, COLD_TIME = 2.0, 3.0
# Time in which an undisturbed host learns changes, members, and that a server turned cold.
LEARN_TIME = 1.0
# Time after which callers of a host without servers are served through other hosts.
CUT_NOTICE = 2.0
# Time in which data that a proxy has held back arrives.
HELD_TIME = 0.5


@dataclasses.dataclass
class Organisation:
    """`keys` are in the current routes; the first one always is."""
    name: str
    weight: int
    rate: float = 0.0
    burst: float = 0.0
    regions: tuple = ()
    keys: list = dataclasses.field(default_factory=list)

    def spec(self):
        return {"name": self.name, "apiKeys": list(self.keys), "priority": 1, "ratePerS": self.rate,
                "burst": self.burst, "allowedRegions": list(self.regions)}


@dataclasses.dataclass
class Key:
    """When the store acknowledged that the key is in force, and when it was withdrawn."""
    organisation: Organisation
    since: float
    withdrawal_began: float = math.inf
    withdrawn: float = math.inf


class Operators:
    """Part of `Soak`: organisations, evacuations, cold servers and cuts of single hosts."""

    def draw_features(self):
        drawn = {name for name in FEATURES if self.random.random() < 0.75}
        self.features = drawn if self.options.features is None else set(self.options.features)
        regions = sorted(REGIONS.values())
        self.homes = self.random.sample(regions, 2)
        self.organisations = [
            Organisation("open", 6), Organisation("quota", 3, 8.0, 8.0),
            Organisation("small", 1, 2.0, 2.0),
            Organisation("home", 2, regions=tuple(self.random.sample(regions, 1)))]
        self.keys, self.key_of, self.expected, self.regions_of = {}, {}, {}, {}
        self.evacuated, self.restored_at, self.store_downs = {}, 0.0, []
        self.owners, self.held, self.tries = {}, [], collections.deque(maxlen=20000)
        for organisation in self.organisations:
            for _ in range(3):
                self.add_key(organisation, -math.inf)

    def has(self, feature):
        return feature in self.features

    def settings(self):
        """Lines of the settings of hosts."""
        text = f"memory: {{limit_mb: {MEMORY}}}\n"
        if self.has("organisations"):
            text += f"quotas: {{window_ms: {int(1000 * QUOTA_WINDOW)}}}\n"
        if self.has("evacuations"):
            text += "evacuations: {watch: true}\n"
        if self.has("observations") and "share_observations" in TEMPLATE.read_text():
            text += "balancing: {share_observations: true}\n"
        return text

    def operator_faults(self):
        return [self.cut_hosts, *([self.change_keys, self.surge] * self.has("organisations")),
                *([self.evacuate] * 2 * self.has("evacuations")),
                *([self.chill] * self.has("cold"))]

    # Organisations and their keys

    def add_key(self, organisation, since):
        key = f"{organisation.name}-{self.random.getrandbits(48):012x}"
        organisation.keys.append(key)
        self.keys[key] = Key(organisation, since)
        return key

    async def change_keys(self, seconds):
        """Adds a key and withdraws another one."""
        organisation = self.random.choice(self.organisations)
        key = self.add_key(organisation, math.inf)
        await self.publish()
        self.keys[key].since = self.now()
        await asyncio.sleep(seconds)
        removed = self.random.choice(organisation.keys[1:])
        organisation.keys.remove(removed)
        self.keys[removed].withdrawal_began = self.now()
        await self.publish()
        self.keys[removed].withdrawn = self.now()

    def choose_key(self, kind, organisation=None):
        """Key for a request, or a text that is none; `public` routes also serve those without."""
        if organisation:
            return organisation.keys[0]
        if self.random.random() < 0.05:
            return self.random.choice(("", "unknown"))
        if kind == "/public/" or self.random.random() < 0.7:
            organisation = self.random.choices(self.organisations,
                                               [o.weight for o in self.organisations])[0]
            return organisation.keys[0]
        return self.random.choice(list(self.keys))

    def prepare(self, request, kind, organisation):
        """Draws the header fields of a request and what servers may see of them."""
        key = (self.choose_key(kind, organisation) if self.has("organisations")
               else self.random.choice(("", "any")))
        forged = self.random.choice(("", "", "forged"))
        self.key_of[request] = key
        if self.has("organisations"):
            owner = self.keys[key].organisation if key in self.keys else None
            self.expected[request] = (owner.name if owner else "", "")
            allowed = set(REGIONS.values())
            if owner and owner.regions:
                allowed &= set(owner.regions)
            if kind == "/home/":
                allowed &= set(self.homes)
            self.regions_of[request] = allowed
        else:
            self.expected[request] = (forged, f"Bearer {key}" if key else "")
        fields = {"Authorization": f"Bearer {key}"} if key else {}
        return {**fields, **({"X-Waxwingdyke-Tenant": forged} if forged else {})}

    def is_unrestricted(self, request):
        """Whether any server may serve the request, without a quota."""
        key = self.keys.get(self.key_of[request])
        return not self.has("organisations") or (key and key.organisation.name == "open"
                                                 and len(self.regions_of[request]) == len(ZONES)
                                                 and key.since < 0 and key.withdrawn == math.inf)

    def check_key(self, request, kind, host, began, status):
        """401 for keys that are not in force, and for no other. A host knows a change that the store
        acknowledged while it runs and reaches the store for APPLY_TIME."""
        if not self.has("organisations"):
            if status in (401, 429):
                self.problem(f"{request} got {status} without organisations in the routes")
            return
        text = self.key_of[request]
        key = self.keys.get(text)
        undisturbed = max(host.interrupted_at, host.store_disturbed_until)

        def known(change):
            return began > max(change, undisturbed if change > 0 else change) + APPLY_TIME

        if status == 401:
            if kind == "/public/" or (key and known(key.since)
                                      and self.now() < key.withdrawal_began):
                self.problem(f"{request} {kind}: 401 of host {host.number} for a key in force")
        elif kind != "/public/" and status != 503 and (not key or known(key.withdrawn)):
            self.problem(f"{request} {kind}: {status} of host {host.number} for "
                         + ("a withdrawn key" if key else "an unknown key"))
        if status == 429 and not (key and key.organisation.rate):
            self.problem(f"{request} {kind}: 429 without a quota")

    async def surge(self, seconds):
        """An organisation sends about four times its quota, at one host or at all."""
        organisation = self.random.choice([o for o in self.organisations if o.rate])
        hosts = self.random.choice((self.hosts, [self.random.choice(self.hosts)]))
        await self.send(hosts, "/one/", organisation, 4 * organisation.rate, seconds)

    async def send(self, hosts, kind, organisation, rate, seconds):
        calls, ends = [], self.now() + seconds
        while self.now() < ends:
            calls.append(asyncio.create_task(
                self.call(self.random.choice(hosts), kind, organisation)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*calls)

    # Evacuations and cold servers

    async def evacuate(self, seconds):
        zone = self.random.choice(ZONES)
        if zone in self.evacuated:
            return
        self.evacuated[zone] = self.now()
        await self.store.put("evacuations", zone, {"reason": "soak"})
        self.evacuated[zone] = acknowledged = self.now()
        await asyncio.sleep(APPLY_TIME + 1.0 + seconds)
        self.check_evacuation(zone, acknowledged)
        # Removed here first, so that a store that is restored meanwhile does not get it again.
        del self.evacuated[zone]
        await self.store.remove("evacuations", zone)

    def check_evacuation(self, zone, acknowledged):
        """A host that started after the store lost the evacuation knows it from when it was written
        again. If the store failed before hosts could learn, they have time from its return."""
        readable = acknowledged
        for began, until in sorted(self.store_downs):
            if began < readable + LEARN_TIME:
                readable = max(readable, until)
        for server in self.servers:
            if server.zone != zone:
                continue
            for at, request, host in server.requests:
                known = readable
                if host and host.interrupted_at > self.restored_at - LEARN_TIME:
                    known = max(known, self.evacuated[zone])
                if at > known + APPLY_TIME and not self.was_held(server, host, at):
                    self.problem(f"{server.id} got {request} of host {host and host.number} "
                                 f"{at - acknowledged:.2f} s after {zone} was evacuated")

    async def write_operators_objects(self):
        """Writes again what a restored store may have lost, and removes what it has again."""
        for zone in ZONES:
            if zone in self.evacuated:
                await self.store.put("evacuations", zone, {"reason": "soak"})
                if zone in self.evacuated:
                    self.evacuated[zone] = self.now()
            else:
                await self.store.remove("evacuations", zone)

    def was_held(self, server, host, at):
        """Whether a proxy may have held the request back."""
        return any(who in (server, host) and until <= at < until + HELD_TIME
                   for who, until in self.held)

    async def chill(self, _seconds):
        """A server restarts cold, while hosts of its zone have much to send to it."""
        server = self.random.choice([s for s in self.servers if s.service in ("shard-0", "single")])
        hosts = [h for h in self.hosts if h.zone == server.zone]
        server.close()
        server.born += 1
        server.cold_until = self.now() + COLD_TIME + 1.0
        await self.register(server)
        await asyncio.sleep(0.5)
        if server.server is None:
            await server.open()
        began = self.now() + LEARN_TIME
        await self.send(hosts, "/all/" if server.service == "shard-0" else "/one/",
                        self.organisations[0], 20, server.cold_until - self.now())
        self.check_cold(server, began)

    def check_cold(self, server, began):
        allowed = 1.5 * COLD_RATE + 5
        times = [at for at, _, host in server.requests if began < at < server.cold_until
                 and self.knows_members(host, began) and not self.was_held(server, host, at)]
        for start in times:
            count = sum(start <= at < start + 1 for at in times)
            if count > allowed:
                self.problem(f"{server.id} got {count} requests in 1 s while cold")
                return

    def knows_members(self, host, since):
        """Whether the host ran and reached servers for a while before `since`."""
        return host and max(host.interrupted_at, host.cut_until) < since - LEARN_TIME

    # Cuts of single hosts from all servers

    async def cut_hosts(self, seconds):
        """Callers, the store and other hosts still reach the hosts. Their callers are served through
        other hosts, at least two thirds as often as those of the other hosts."""
        hosts = [h for h in self.random.sample(self.hosts, self.random.randint(1, 2)) if not h.cut]
        seconds, resets = seconds + CUT_NOTICE + 2.0, self.random.random() < 0.5
        began = self.now()
        for host in hosts:
            host.cut, host.cut_until = True, began + seconds
            self.held.append((host, host.cut_until))
            for writer in list(host.connections) if resets else ():
                writer.transport.abort()
        await asyncio.sleep(seconds)
        for host in hosts:
            host.cut = False
        # The last requests have their answers by then.
        await asyncio.sleep(2.0)
        self.check_cut(hosts, began, seconds)

    def is_helped(self, host, began):
        """Whether another host ran and reached servers from a while before `began` until now. While
        all others are cut or frozen too, no host can serve the callers of a cut one."""
        return any(max(other.broken_until, other.cut_until) + CUT_NOTICE < began
                   for other in self.hosts if other is not host)

    def check_cut(self, cut, began, seconds):
        tries = {True: [], False: []}
        for at, host, served, helped in self.tries:
            if (began + CUT_NOTICE < at < began + seconds
                    and (helped if host in cut else host.cut_until < began)):
                tries[host in cut].append(served)
        if min(len(t) for t in tries.values()) < 10:
            return
        here, others = (sum(t) / len(t) for t in (tries[True], tries[False]))
        if here < others * 2 / 3:
            self.problem(f"{here:.2f} of {len(tries[True])} requests were served by hosts "
                         f"{[h.number for h in cut]} without servers, {others:.2f} by the others")

    # Checks at the end

    def check_quotas(self):
        for organisation in self.organisations:
            times = sorted(at for request, at in standin.Server.first_runs.items()
                           if self.key_of.get(request) in self.keys
                           and self.keys[self.key_of[request]].organisation is organisation)
            allowed = ((organisation.rate * QUOTA_WINDOW + organisation.burst)
                       * (1 + QUOTA_OVERAGE) + QUOTA_SLACK)
            for index, start in enumerate(times if organisation.rate else ()):
                count = sum(at < start + QUOTA_WINDOW for at in times[index:index + 1000])
                self.fullest = max(self.fullest, count / allowed)
                if count > allowed:
                    self.problem(f"{count} requests of {organisation.name} in {QUOTA_WINDOW} s, "
                                 f"allowed {allowed:.0f}")
                    break

    def is_checked(self, _request):
        """Whether what servers see of the request is checked."""
        return True

    def check_callers(self):
        """Servers see the organisation and never a key, and only requests that their region may
        serve."""
        for request, tenant, key in standin.Server.callers:
            expected = self.expected.get(request, ("", ""))
            if self.is_checked(request) and (tenant, key) != expected:
                self.problem(f"servers got {request} with organisation {tenant!r}, key {key!r}")
        for server in self.servers:
            for _, request, _ in server.requests:
                if (self.is_checked(request) and REGIONS[server.zone]
                        not in self.regions_of.get(request, REGIONS.values())):
                    self.problem(f"{request} reached {server.id} in {REGIONS[server.zone]}")

    def check_logs(self):
        """Bodies of requests stay in their regions, and keys out of logs."""
        for host in self.hosts:
            text = (self.folder / f"host-{host.number}.log").read_text()
            if any(key in text for key in self.keys):
                self.problem(f"host {host.number} logs a key")
            # A host that was killed may have left an incomplete line.
            for request in re.findall(r'"request":"([^"]*)"[^}]*"forwarded_by"', text):
                if (self.is_checked(request) and REGIONS[host.zone]
                        not in self.regions_of.get(request, REGIONS.values())):
                    self.problem(f"{request} was forwarded to host {host.number}")
