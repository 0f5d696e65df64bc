"""Relay hosts of this build and of an earlier one, for ./dev drill side_by_side."""

import argparse
import asyncio
import collections
import os
import pathlib
import signal
import subprocess
import tempfile
import urllib.request

from relay_soak.hosts import BINARY, ROOT, Host
from relay_soak.soak import Soak

DEFAULT_COMMIT = "c47b57e"
HOSTS, RATE = 6, 60
# Time between two replacements, in which one host is cut from all servers.
STEP_TIME = 1.0
# Time in which servers name a limit, while half of the hosts are of each build.
LIMITS_TIME = 12.0


def build(commit):
    """Builds waxwing-relay of a commit in a folder of its own, and returns the binary."""
    folder = ROOT / "build/side_by_side" / commit
    source, binary = folder / "source", folder / "build/bin/waxwing-relay"
    source.mkdir(parents=True, exist_ok=True)
    archive = subprocess.Popen(["git", "-C", ROOT, "archive", commit], stdout=subprocess.PIPE)
    subprocess.run(["tar", "-x", "-C", source], stdin=archive.stdout, check=True)
    if archive.wait():
        raise SystemExit(f"commit {commit} cannot be read")
    environment = {**os.environ, "CCACHE_BASEDIR": str(source), "CCACHE_NOHASHDIR": "1"}
    for command in (["cmake", "-S", source, "-B", folder / "build", "-G", "Ninja",
                     "-DCMAKE_BUILD_TYPE=RelWithDebInfo", "-DWAXWING_RELAY_ONLY=ON",
                     "-DCMAKE_CXX_FLAGS_RELWITHDEBINFO=-O2 -g1"],
                    ["cmake", "--build", folder / "build", "-j", "2", "--target",
                     "waxwing-relay"]):
        subprocess.run(command, check=True, env=environment, stdout=subprocess.DEVNULL)
    return binary


class SideBySide(Soak):
    """Replaces hosts one after the other, up and down, under load. With organisations in the routes,
    hosts of the earlier build neither check keys nor remove them; what servers see of callers is
    checked for requests that arrive at hosts of this build."""

    def __init__(self, old, organisations, folder, report):
        options = argparse.Namespace(
            hosts=HOSTS, rate=RATE, server_faults=("limits",), seconds=0,
            features=["organisations", "observations"] if organisations else ["observations"])
        super().__init__(239 - organisations, options, folder)
        self.old, self.report, self.binary_of = old, report, {}
        self.statuses, self.forwards = collections.Counter(), collections.Counter()
        self.unknown_datagrams, self.replaced = 0, set()

    def make_host(self, number, network, seeds):
        return Host(number, network, seeds, self.store, self.folder, self.old)

    async def faults(self, _choices):
        """Draws none: `replace_all` brings about all faults."""

    async def load(self, faults):
        await super().load([*faults, asyncio.create_task(self.replace_all())])

    async def replace_all(self):
        half = len(self.hosts) // 2
        await asyncio.sleep(2)
        for binary, more in ((BINARY, self.settings()), (self.old, "")):
            for host in self.hosts[:half]:
                await self.replace(host, binary, more)
            # The time also covers the hosts that are replaced last learning of the limits.
            self.ends = self.now() + LIMITS_TIME
            await asyncio.gather(self.server_fault(0), self.server_fault(0))
            self.unknown_datagrams += sum(self.read_unknown_datagrams(h) for h in self.hosts
                                          if h.binary == self.old)
            for host in self.hosts[half:]:
                await self.replace(host, binary, more)
        self.ends = self.now()

    async def replace(self, host, binary, more):
        """While a host is replaced, one of each build is cut from all servers."""
        self.replaced.add(host)
        host.disturb(7.0)
        host.send(signal.SIGTERM)
        code = await asyncio.wait_for(host.process.wait(), 10)
        if code:
            self.problem(f"host {host.number} ended with {code} after SIGTERM")
        host.binary, host.more = binary, more
        await host.start()
        await asyncio.sleep(STEP_TIME)
        self.replaced.discard(host)
        for kind in (self.old, BINARY):
            hosts = [h for h in self.hosts if h.binary == kind]
            for cut in hosts and [self.random.choice(hosts)]:
                cut.cut, cut.cut_until = True, self.now() + 2.0
                await asyncio.sleep(2.0)
                cut.cut = False

    def read_unknown_datagrams(self, host):
        with urllib.request.urlopen(f"http://{host.address}:20112/metrics", timeout=5) as answer:
            return sum(float(line.split()[-1]) for line in answer.read().decode().splitlines()
                       if line.startswith("waxwing_gossip_malformed_total"))

    async def call(self, host, target=None, organisation=None):
        while host in self.replaced:  # a load balancer sends nothing to it
            host = self.random.choice(self.hosts)
        status = await super().call(host, target, organisation)
        self.statuses[status] += 1
        return status

    def prepare(self, request, kind, organisation):
        host = self.host_of[request]
        self.binary_of[request] = host.binary
        # The earlier build knows no homes, and every request here is valid.
        return super().prepare(request, kind, organisation or self.organisations[0])

    def check_key(self, request, kind, host, began, status):
        if status is not None and 400 <= status < 500:
            self.problem(f"{request} {kind}: {status} of host {host.number}")

    def is_checked(self, request):
        return self.binary_of[request] == BINARY or not self.has("organisations")

    def find_sender(self, request, ports):
        """Counts requests that reach a server through another host than the one that received them,
        by the builds of the two."""
        sender, host = super().find_sender(request, ports), self.host_of.get(request)
        if sender and sender is not host:
            names = ["old" if binary == self.old else "new"
                     for binary in (self.binary_of[request], sender.binary)]
            self.forwards[" to ".join(names)] += 1
        return sender

    def report_all(self, name):
        def report(metric, unit, now, target, met):
            self.report(f"side_by_side {name}", metric, unit, now, target, met)

        report("broken checks", "checks", len(self.problems), 0, not self.problems)
        refused = sum(n for s, n in self.statuses.items() if s and 400 <= s < 500)
        report("valid requests refused with 4xx", "requests", refused, 0, refused == 0)
        total = sum(self.statuses.values())
        share = round(self.statuses[200] / total, 4)
        report(f"requests served of {total}", "share", share, None, True)
        report("at-most-once requests that ran twice", "requests", len(self.doubled), 0,
               not self.doubled)
        for pair in ("old to old", "old to new", "new to old", "new to new"):
            # With a checked caller, a host of this build forwards to its own build only.
            wanted = not (self.has("organisations") and pair == "new to old")
            count = self.forwards[pair]
            report(f"server requests forwarded, {pair}", "requests", count,
                   "> 0" if wanted else 0, (count > 0) == wanted)
        if self.has("organisations"):
            report("gossip messages that the earlier build dropped", "messages",
                   self.unknown_datagrams, "> 0", self.unknown_datagrams > 0)
        for text in self.problems:
            print(f"  {text}", flush=True)
        print(f"  statuses {dict(self.statuses)}, logs in {self.folder}", flush=True)


def run(commit, report):
    """Both cases; `report(name, metric, unit, now, target, met)` is called for each figure."""
    old = build(commit)
    for organisations in (False, True):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="waxwing-side-by-side-"))
        case = SideBySide(old, organisations, folder, report)
        asyncio.run(case.run())
        case.report_all("with organisations" if organisations else "without organisations")
