"""The whole system on this machine: platform and backend stand-ins and two entry hosts in each
availability zone. Used by ./dev demo and ./dev drill."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "release" / "bin"
HOST = "127.0.0.1"

# Services of each deployment that the demo runs: one group of many small services and one
# service with many leaves.
SERVICE_PREFIXES = {
    "lavagna": ("brief-desk", "gallery"),
    "verband": ("kreisfinder", "einschreibung"),
}
# First port of the demo's own processes; backend servers keep the ports of the example document.
FIRST_PORT = {"lavagna": 20000, "verband": 20500}
ENTRY_HOSTS_PER_ZONE = 2
START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 40


def load_document(deployment):
    """The example document, reduced to the services of the demo and their backend servers."""
    document = json.loads((ROOT / "examples" / deployment / "configuration.json").read_text())
    document["services"] = [s for s in document["services"]
                            if s["id"].startswith(SERVICE_PREFIXES[deployment])]
    used = {server for service in document["services"]
            for partitioning in service["partitionings"]
            for shard in partitioning["shards"] for server in shard["replicas"]}
    document["backend_servers"] = [s for s in document["backend_servers"] if s["id"] in used]
    return document


def request(method, url, body=None, headers=None):
    data = None if body is None else json.dumps(body).encode()
    message = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    with urllib.request.urlopen(message, timeout=5) as answer:
        return answer.read()


class EntryHost:
    """Addresses and settings of one entry host."""

    def __init__(self, name, zone, first_port):
        self.name = name
        self.zone = zone
        self.process = None
        self.callers, self.admin, self.peer, self.gossip = (
            f"{HOST}:{first_port + offset}" for offset in range(4))

    def settings(self, seeds, platform):
        """Settings file as YAML; JSON is a subset of it."""
        return json.dumps({
            "host": self.name,
            "zone": self.zone,
            "listen": {"callers": self.callers, "admin": self.admin, "peer": self.peer,
                       "gossip": self.gossip},
            "seeds": {"gossip": [seed.gossip for seed in seeds],
                      "peer": [seed.peer for seed in seeds]},
            "platform": platform,
            "log_level": "warning",
        }, indent=2)


class LocalSystem:
    """Starts and stops the processes of one deployment."""

    def __init__(self, deployment, folder):
        self.folder = folder
        self.processes = []
        self.document = load_document(deployment)
        first = FIRST_PORT[deployment]
        self.platform = f"{HOST}:{first}"
        self.backend_control = f"{HOST}:{first + 1}"
        self.entry_hosts = [
            EntryHost(f"entry-{zone}-{number}", zone, first + 10 + 10 * index + 100 * number)
            for index, zone in enumerate(self.document["zones"])
            for number in range(1, ENTRY_HOSTS_PER_ZONE + 1)]

    def start(self, binary, *flags):
        log = open(self.folder / f"{len(self.processes)}-{binary}.log", "wb")
        process = subprocess.Popen([BIN / binary, *flags], stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def start_entry(self, entry):
        path = self.folder / f"{entry.name}.yaml"
        entry.process = self.start("waxwing-entry", f"--settings={path}")

    def write(self, name, content):
        path = self.folder / name
        path.write_text(content)
        return path

    def host_list(self):
        entries = [{"id": e.name, "role": "entry", "zone": e.zone, "address": e.gossip,
                    "state": "live"} for e in self.entry_hosts]
        backends = [{"id": s["id"], "role": "backend", "zone": s["zone"],
                     "address": s["address"], "state": "live"}
                    for s in self.document["backend_servers"]]
        return {"hosts": entries + backends}

    def start_all(self):
        configuration = self.write("configuration.json", json.dumps(self.document))
        hosts = self.write("hosts.json", json.dumps(self.host_list()))
        self.start("platform-standin", f"--listen={self.platform}", f"--hosts={hosts}")
        self.start("backend-standin", f"--configuration={configuration}",
                   f"--control={self.backend_control}")
        self.wait_for(f"http://{self.platform}/hosts")
        request("PUT", f"http://{self.platform}/objects/configuration/current", self.document,
                {"If-None-Match": "*"})
        for entry in self.entry_hosts:
            self.write(f"{entry.name}.yaml", entry.settings(self.entry_hosts[:3], self.platform))
            self.start_entry(entry)
        for entry in self.entry_hosts:
            self.wait_for(f"http://{entry.admin}/readyz")

    def wait_for(self, url):
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            self.check_running()
            try:
                request("GET", url)
                return
            except (urllib.error.URLError, OSError):
                if time.monotonic() > deadline:
                    raise SystemExit(f"{url} does not answer; logs are in {self.folder}")
                time.sleep(0.1)

    def check_running(self):
        for process in self.processes:
            if process.poll() is not None:
                raise SystemExit(f"{process.args[0].name} ended with exit code "
                                 f"{process.returncode}; logs are in {self.folder}")

    def load_command(self, searches, rate, commands, targets=None, extra=()):
        """Command line of a load on all services, by default over all entry hosts."""
        services = ",".join(s["id"] for s in self.document["services"])
        hosts = ",".join(e.callers for e in targets or self.entry_hosts)
        return [BIN / "waxwing-load", f"--targets={hosts}", f"--services={services}",
                f"--configuration={self.folder / 'configuration.json'}",
                f"--backend_control={self.backend_control}", f"--searches={searches}",
                f"--rate={rate}", f"--commands={commands}", *extra]

    def print_addresses(self):
        print(f"platform stand-in       http://{self.platform}")
        print(f"backend stand-in faults http://{self.backend_control}/faults")
        for entry in self.entry_hosts:
            print(f"{entry.name:<24}callers http://{entry.callers}  admin http://{entry.admin}")
        print(f"logs and settings       {self.folder}", flush=True)

    def stop(self):
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
