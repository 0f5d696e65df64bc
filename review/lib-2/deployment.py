"""A small deployment on loopback addresses: relay hosts as processes, the store of the project's
stand-ins, and leafs and clients that follow the operators' pages."""

import asyncio
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "platform"))
import standin  # noqa: E402

ZONES = {"palermo-nord": "palermo", "catania-porto": "catania", "agrigento-valle": "agrigento"}
# Ports of every host; hosts differ in their address.
FRONT, READY, CONTROL, INNER = 18226, 18227, 18224, 17740
HOST_NAME = "leno12.example"
# Figures of the site `lavagna`.
PARAMETERS = {"stableWindowMs": 5000, "drainMs": 3000, "graceS": 6, "configApplyMs": 3000,
              "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetBase": 52}
HEARTBEAT_S = 1.2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
          "idleTimeoutMs": 15000}


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self.file, self.began = open(path, "w"), time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


def render(template, fields):
    """Fills in a settings template as the page on deployment describes it."""
    def value(path, scope):
        for part in path.split("."):
            if isinstance(scope, list):
                scope = scope[int(part)] if part.isdigit() and int(part) < len(scope) else None
            else:
                scope = scope.get(part) if isinstance(scope, dict) else None
        return scope

    def section(match):
        present = value(match[2], fields) not in (None, False)
        return match[3] if present == (match[1] == "#") else ""

    def place(match):
        path, _, form = match[1].partition("|")
        found = value(path, fields)
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", place, text)


class Host:
    """A relay host as a process."""

    def __init__(self, system, number, zone):
        self.system, self.number, self.zone = system, number, zone
        self.ip, self.name = f"{system.network}.{number + 1}", f"front-{zone}-{number}"
        self.process, self.started = None, 0.0

    async def start(self):
        system = self.system
        fields = {
            "nodeName": self.name, "zone": self.zone, "zones": ZONES, "ip": self.ip,
            "listenAddrs": {"front": f"{self.ip}:{FRONT}", "ready": f"{self.ip}:{READY}",
                            "control": f"{self.ip}:{CONTROL}"},
            "internalPorts": [INNER, INNER + 15],
            "platform": {"address": f"127.0.0.1:{system.store.port}"},
            "seedNodes": [f"{h.ip}:{CONTROL}" for h in system.hosts[:3]],
            "limits": {"memoryMb": 260, "linkMbps": 1000.0}, "contractParams": PARAMETERS}
        path = system.folder / f"{self.name}.yaml"
        path.write_text(render((ROOT / "platform/settings.yaml.template").read_text(), fields))
        with open(system.folder / f"{self.name}.log", "a") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(ROOT / "target/bin/waxwing-relay"), "--settings", str(path), cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        self.started = system.record.now()
        system.record(f"host {self.name} started")

    async def kill(self):
        self.system.record(f"host {self.name} killed")
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, READY)
        except OSError:
            return False
        try:
            writer.write(b"GET /waxwingdyke/ready HTTP/1.1\r\nHost: r\r\n\r\n")
            answer = await asyncio.wait_for(standin.read_message(reader), 1)
            return bool(answer) and answer[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_until_ready(self):
        for _ in range(300):
            if await self.is_ready():
                return
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} does not become ready")


class Leaf(standin.Listener):
    """A leaf. `run(leaf, request)` returns the bytes of its answer, None for no answer, or calls
    `crash`. Requests for another id get 421."""

    numbers = itertools.count(1)

    def __init__(self, system, service, zone, run, version="v1", slots=4):
        super().__init__("127.0.0.1")
        self.system, self.service, self.zone, self.run = system, service, zone, run
        self.id, self.version, self.slots = f"i-{next(Leaf.numbers):08x}", version, slots
        self.sequence, self.state, self.born, self.is_up = 0, "ready", 0, False
        self.free, self.returns, self.dark = asyncio.Semaphore(slots), set(), False

    async def start(self):
        await self.open()
        self.is_up, self.born = True, int(time.time() * 1000)
        await self.register()

    async def register(self):
        self.sequence += 1
        await self.system.store.put("servers", self.id, {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": self.version, "capacity": self.slots, "state": self.state,
            "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born})

    def end(self):
        self.is_up = False
        self.close()

    def crash(self, seconds):
        """All connections end at once; the leaf is back after `seconds`, under its id."""
        if not self.is_up:
            return
        self.system.record(f"leaf {self.id} of {self.service} ({self.version}) crashed")
        self.end()
        task = asyncio.ensure_future(self._return(seconds))
        self.returns.add(task)
        task.add_done_callback(self.returns.discard)

    async def _return(self, seconds):
        await asyncio.sleep(seconds)
        self.free, self.dark = asyncio.Semaphore(self.slots), False
        await self.start()

    async def serve(self, reader, writer):
        while message := await standin.read_message(reader):
            line, fields, body = message
            request = Request(line, fields, body, writer)
            self.system.record(f"leaf {self.id} got {request.id} {request.path}")
            if fields.get("x-waxwingdyke-expect-instance", self.id) != self.id:
                writer.write(request.answer(421, {"X-Waxwingdyke-Not-Executed": 1}))
                continue
            answer = await self.run(self, request)
            if answer is not None:
                writer.write(answer)


class Request:
    def __init__(self, line, fields, body, writer):
        self.method, self.path = line.split(" ")[:2]
        self.fields, self.body, self.writer = fields, body, writer
        self.id = fields.get(standin.REQUEST_ID, "")

    def answer(self, status, more=None, content=b""):
        return standin.format_answer(status, {"X-Waxwingdyke-Request-Id": self.id,
                                              **(more or {})}, content)

    def success(self, leaf, content=None):
        content = random.randbytes(16 * random.randint(1, 6)) if content is None else content
        stamp = f"{leaf.id}.{self.id}.{random.getrandbits(64):x}"
        return self.answer(200, {standin.SIGNATURE: stamp}, content)


def route(name, prefix, **more):
    return {"name": name, "host": HOST_NAME, "pathPrefix": prefix, "type": "idempotent",
            "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 1, "attempts": 2, **more}


class Deployment:
    """Three hosts in three zones, a store and leafs."""

    def __init__(self, case):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="waxwing-review-"))
        self.record = Record(pathlib.Path(case).parent / "record.txt")
        self.network = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.store = standin.Store("127.0.0.1")
        self.hosts = [Host(self, n, zone) for n, zone in enumerate(ZONES)]
        self.leaves, self.version, self.requests = [], 1, itertools.count(1)
        self.limits = dict(LIMITS)

    async def add_leaf(self, service, zone, run, **more):
        leaf = Leaf(self, service, zone, run, **more)
        self.leaves.append(leaf)
        await leaf.start()
        return leaf

    def configuration(self, routes):
        self.version += 3
        services = {s for r in routes for s in r.get("gather", [r.get("service")])}
        return {"version": self.version, "routes": routes, "limits": self.limits,
                "services": [{"name": s, "healthPath": "/health", "maxConnections": 96,
                              "protocol": "h1", "tls": False} for s in sorted(services)]}

    async def publish(self, routes):
        await self.write(self.configuration(routes))

    async def write(self, configuration):
        await self.store.put("config", "main", configuration)
        self.record(f"configuration {configuration['version']} acknowledged")

    async def start(self, routes):
        if not (ROOT / "target/bin/waxwing-relay").exists():
            raise CannotRun("target/bin/waxwing-relay is missing")
        await self.publish(routes)
        await self.start_hosts()

    async def start_hosts(self):
        await asyncio.gather(*(host.start() for host in self.hosts))
        await asyncio.gather(*(host.wait_until_ready() for host in self.hosts))

    def new_id(self):
        return f"{next(self.requests):016x}"

    async def call(self, host, path, deadline_ms=2000, method="GET", body=b"", more=None,
                   patience=None, request=None):
        """One client attempt on a connection of its own. Returns (status, fields, body); status 0
        if the connection ended without an answer, and -1 if there was none in the time."""
        request = request or self.new_id()
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
                f"X-Waxwingdyke-Request-Id: {request}\r\n"
                f"X-Waxwingdyke-Deadline-Ms: {deadline_ms}\r\n"
                + (f"Content-Length: {len(body)}\r\n" if body else "")
                + "".join(f"{k}: {v}\r\n" for k, v in (more or {}).items()) + "\r\n")
        self.record(f"client sends {request} {path} to {host.name}")
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host.ip, FRONT, limit=1 << 24)
            writer.write(head.encode() + body)
            answer = await asyncio.wait_for(standin.read_message(reader),
                                            patience or deadline_ms / 1000)
        except asyncio.TimeoutError:
            answer, status = None, -1
        except OSError:
            answer, status = None, 0
        else:
            status = int(answer[0].split(" ")[1]) if answer else 0
        finally:
            if writer:
                writer.close()
        self.record(f"client got {status} for {request} {path}")
        return status, answer[1] if answer else {}, answer[2] if answer else b""

    async def end(self):
        for host in self.hosts:
            if host.process and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        for leaf in self.leaves:
            for task in list(leaf.returns):
                task.cancel()
            leaf.end()
        self.store.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case, scenario):
    """Runs `scenario(deployment)`, which returns a text if the rule was broken, and exits."""
    async def run():
        system = Deployment(case)
        try:
            await system.store.open()
            return await asyncio.wait_for(scenario(system), 110), system
        finally:
            await system.end()

    try:
        broken, system = asyncio.run(run())
    except Exception as problem:  # whatever ends the scenario says nothing about the rule
        print(f"the case could not run: {problem!r}", file=sys.stderr)
        sys.exit(2)
    system.record.say(f"BROKEN: {broken}" if broken else "the rule held")
    sys.exit(1 if broken else 0)
