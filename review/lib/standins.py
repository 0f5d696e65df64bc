"""Stand-ins for the platform's store, its servers and its clients, and relay hosts as processes.

They follow the operators' protocol page over loopback connections. What a case needs beyond sound
behaviour is switched on by the case itself."""

import asyncio
import collections
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import sys
import tempfile
import tomllib

from template import render

ROOT = pathlib.Path(__file__).resolve().parents[2]
REQUEST_ID = "X-Waxwingdyke-Request-Id"
DEADLINE = "X-Waxwingdyke-Deadline-Ms"
STAMP = "X-Waxwingdyke-Response-Stamp"
NOT_RUN = "X-Waxwingdyke-Not-Executed"
EXPECTED = "X-Waxwingdyke-Expect-Instance"
INSTANCE = "X-Waxwingdyke-Instance-Id"


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self.lines, self.path, self.began = [], path, asyncio.get_running_loop().time()

    def now(self):
        return asyncio.get_running_loop().time() - self.began

    def add(self, *words):
        self.lines.append(f"{self.now():9.3f} " + " ".join(str(word) for word in words))

    def write(self):
        pathlib.Path(self.path).write_text("\n".join(self.lines) + "\n")


async def read_message(reader, is_answer=False, to_head=False):
    """Returns start line, lower-case fields and body of a message; None if it does not end well."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                fields[name.strip().lower()] = value.strip()
        body = b""
        if "chunked" in fields.get("transfer-encoding", ""):
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        elif is_answer:
            body = await reader.read()
        return lines[0], fields, body
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, OSError):
        return None


def format_answer(status, fields, body=b""):
    head = f"HTTP/1.1 {status} Status\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class Listener:
    """TCP server that ends its connections when it closes."""

    def __init__(self, address="127.0.0.1", port=0):
        self.address, self.port, self.server, self.tasks = address, port, None, set()

    async def open(self):
        self.server = await asyncio.start_server(self._accept, self.address, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def _accept(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()


class Store(Listener):
    """The platform's store: lists in pages, watches, a single revision counter."""

    def __init__(self, record, page=500):
        super().__init__()
        self.record, self.page, self.revision = record, page, 1
        # JSON text of each object by kind and name, and (revision, kind, text of the event).
        self.objects, self.events = collections.defaultdict(dict), []
        self.changed, self.calls = asyncio.Event(), collections.Counter()

    def put(self, kind, name, spec):
        self.put_text(kind, name, json.dumps(spec))

    def put_text(self, kind, name, spec):
        """Stores a spec whose bytes another writer chose."""
        spec = spec if isinstance(spec, bytes) else spec.encode()
        self.revision += 1
        meta = json.dumps({"name": name, "revision": self.revision, "createdRev": self.revision,
                           "finalizers": [], "deleting": False}).encode()
        text = b'{"meta":' + meta + b',"spec":' + spec + b',"status":null}'
        self.objects[kind][name] = text
        self._add_event(kind, b'{"deleted":false,"object":' + text + b"}")

    def remove(self, kind, name):
        text = self.objects[kind].pop(name)
        self.revision += 1
        text = re.sub(rb'"revision": \d+', b'"revision": %d' % self.revision, text, count=1)
        self._add_event(kind, b'{"deleted":true,"object":' + text + b"}")

    def _add_event(self, kind, text):
        self.events.append((self.revision, kind, text))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        while message := await read_message(reader):
            path, _, query = message[0].split(" ")[1].partition("?")
            options = dict(pair.split("=") for pair in query.split("&")) if query else {}
            kind = path.rsplit("/", 1)[1]
            self.calls[kind, "watch" if "watch" in options else "list"] += 1
            await asyncio.sleep(0.004)
            body = await self._answer(kind, options)
            writer.write(format_answer(200, {"Content-Type": "application/json"}, body))
            await writer.drain()

    async def _answer(self, kind, options):
        if "watch" not in options:
            after = options.get("after", "")
            names = sorted(name for name in self.objects[kind] if name > after)
            items = b",".join(self.objects[kind][name] for name in names[:self.page])
            more = b"true" if len(names) > self.page else b"false"
            return b'{"items":[%s],"hasMore":%s,"currentRev":%d}' % (items, more, self.revision)
        after, loop = int(options["watch"]), asyncio.get_running_loop()
        ends = loop.time() + int(options.get("waitMs", 0)) / 1000
        while not (found := [t for r, k, t in self.events if r > after and k == kind]):
            left = ends - loop.time()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        return b'{"events":[%s],"currentRev":%d}' % (b",".join(found), self.revision)


class Leaf(Listener):
    """Server of a service: `capacity` requests at a time, a few more wait, the rest is refused."""

    def __init__(self, record, store, name, service, zone, capacity, work_s, queue=4):
        super().__init__()
        self.record, self.store, self.name, self.service = record, store, name, service
        self.zone, self.capacity, self.work_s, self.queue = zone, capacity, work_s, queue
        self.slots, self.present, self.born = asyncio.Semaphore(capacity), 0, 1764892800000
        self.runs, self.stamps = [], {}

    async def open(self):
        await super().open()
        self.register("ready")

    def entry(self, state):
        return {"service": self.service, "address": f"{self.address}:{self.port}",
                "zone": self.zone, "version": "v1", "capacity": self.capacity, "state": state,
                "coldRemainingMs": 0, "sequence": 1, "born": self.born}

    def register(self, state):
        self.store.put("servers", self.name, self.entry(state))

    async def serve(self, reader, writer):
        while message := await read_message(reader):
            line, fields, body = message
            method, target, _ = line.split(" ")
            request = fields.get(REQUEST_ID.lower(), "")
            if target == "/health":
                writer.write(format_answer(200, {INSTANCE: self.name}))
                continue
            self.record.add("server", self.name, "receives", request)
            await self.before_answer(request, writer)
            answer = await self.handle(method, target, request, fields, body)
            await self.send(request, answer, writer)

    async def before_answer(self, request, writer):
        """For servers that send something before the answer."""

    async def send(self, request, answer, writer):
        writer.write(answer)
        await writer.drain()

    async def handle(self, method, target, request, fields, body):
        own = {REQUEST_ID: request, INSTANCE: self.name}
        if fields.get(EXPECTED.lower(), self.name) != self.name:
            return format_answer(421, {**own, NOT_RUN: 1})
        if not request:
            return format_answer(400, {**own, NOT_RUN: 1})
        if self.present >= self.capacity + self.queue:
            self.record.add("server", self.name, "is full and does not run", request)
            return format_answer(503, {**own, NOT_RUN: 1})
        self.present += 1
        arrived = self.record.now()
        try:
            async with self.slots:
                if self.record.now() - arrived > int(fields.get(DEADLINE.lower(), 1000)) / 1000:
                    return format_answer(503, {**own, NOT_RUN: 1})
                return await self.run(method, target, request, own)
        finally:
            self.present -= 1

    async def run(self, method, target, request, own):
        self.runs.append((self.record.now(), request))
        self.record.add("server", self.name, "runs", request)
        await asyncio.sleep(self.work_s * random.uniform(0.8, 1.2))
        body = f"{method} {target} by {self.name}".encode()
        stamp = f"{self.name}.{request}.{random.getrandbits(32):08x}"
        self.stamps[stamp] = (200, body)
        self.record.add("server", self.name, "answers 200 to", request)
        return format_answer(200, {**own, STAMP: stamp}, body)


class Host:
    """A relay host, started with the command of the deploy file."""

    def __init__(self, number, zone, zones, seeds, store_address, folder, network):
        self.address = f"{network}.{number + 1}"
        self.ports = free_ports(self.address, 4)
        self.folder = pathlib.Path(folder) / f"host-{number}"
        self.folder.mkdir()
        self.process, self.log = None, None
        front, ready, control, first = self.ports
        self.fields = {
            "nodeName": f"front-{zone}-{number}", "role": "relay", "machineClass": "front",
            "serves": ["front", "control"], "ip": self.address, "zone": zone,
            "region": zones[zone], "zones": zones, "internalPorts": [first, first + 15],
            "seedNodes": [f"{seed}:{control}" for seed in seeds], "bootstrap": True,
            "listenAddrs": {"front": f"{self.address}:{front}", "ready": f"{self.address}:{ready}",
                            "control": f"{self.address}:{control}"},
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "contractParams": {
                "seedStalenessS": 3, "addrReuseS": 2, "stableWindowMs": 5000, "ackMs": 6000,
                "catchupS": 4, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
                "configApplyMs": 3000, "rollbackSlackMs": 250, "maxStretchMs": 15000,
                "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetBase": 52,
                "recoveryS": 12},
            "platform": {"address": store_address, "form": "objects", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                         "ttlMinMs": 1000}}

    async def start(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["relay"]
        settings = self.folder / "settings.yaml"
        settings.write_text(render((ROOT / role["template"]).read_text(), self.fields))
        command = [str(settings) if word.endswith("settings.toml") else word
                   for word in shlex.split(role["run"])]
        self.log = open(self.folder / "log.txt", "a")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "WAXWINGDYKE_CONFIG": str(settings)})

    async def is_ready(self):
        """Asks as the platform's ingress does."""
        try:
            reader, writer = await asyncio.open_connection(self.address, self.ports[1])
            writer.write(b"GET /waxwingdyke/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader, True), 1)
            writer.close()
            return answer is not None and answer[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process:
            await self.process.wait()


def free_ports(address, count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((address, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Fleet:
    """Relay hosts of one deployment. All use the same ports on addresses of their own."""

    def __init__(self, count, zones, store, folder):
        # Not from the seeded generator: runs beside each other need addresses of their own.
        pick = random.SystemRandom()
        network = f"127.{pick.randint(20, 250)}.{pick.randint(1, 250)}"
        names = list(zones)
        seeds = [f"{network}.{n + 1}" for n in range(min(count, 3))]
        self.hosts = [Host(n, names[n % len(names)], zones, seeds, f"127.0.0.1:{store.port}",
                           folder, network) for n in range(count)]
        for host in self.hosts[1:]:
            host.ports = self.hosts[0].ports
            _, _, control, first = host.ports
            host.fields["internalPorts"] = [first, first + 15]
            host.fields["seedNodes"] = [f"{seed}:{control}" for seed in seeds]
            host.fields["listenAddrs"] = {
                name: f"{host.address}:{port}"
                for name, port in zip(("front", "ready", "control"), host.ports)}

    async def start(self):
        await asyncio.gather(*(host.start() for host in self.hosts))

    async def wait_ready(self, seconds):
        """Returns whether all hosts are ready in time."""
        ends = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends:
            if all(await asyncio.gather(*(host.is_ready() for host in self.hosts))):
                return True
            await asyncio.sleep(0.2)
        return False

    async def end(self):
        await asyncio.gather(*(host.end() for host in self.hosts))


class Client:
    """Sends requests to hosts, one at a time on each kept connection."""

    def __init__(self, record, host_name):
        self.record, self.host_name, self.idle = record, host_name, collections.defaultdict(list)

    async def call(self, host, request, target, body=b"", deadline_ms=2000, method=None):
        """Returns (status, fields, body), or None if no whole answer came in time."""
        method = method or ("POST" if body else "GET")
        text = (f"{method} {target} HTTP/1.1\r\nHost: {self.host_name}\r\n"
                f"{REQUEST_ID}: {request}\r\n{DEADLINE}: {deadline_ms}\r\n"
                + (f"Content-Length: {len(body)}\r\n" if body else "") + "\r\n").encode() + body
        self.record.add("client sends", method, target, request, "to", host.fields["nodeName"])
        pair = None
        try:
            while self.idle[host] and pair is None:
                pair = self.idle[host].pop()
                if pair[0].at_eof():
                    pair[1].close()
                    pair = None
            pair = pair or await asyncio.wait_for(
                asyncio.open_connection(host.address, host.ports[0]), 1)
            pair[1].write(text)
            message = await asyncio.wait_for(read_message(pair[0], True), deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError) as reason:
            message = None
            self.record.add("client has no answer to", request, type(reason).__name__)
        if message is None:
            if pair:
                pair[1].close()
            self.record.add("client gets no whole answer to", request)
            return None
        line, fields, content = message
        status = int(line.split(" ")[1])
        self.record.add("client gets", status, "to", request, "stamp", fields.get(STAMP.lower()))
        if fields.get("connection", "").lower() == "close":
            pair[1].close()
        else:
            self.idle[host].append(pair)
        return status, fields, content

    def close(self):
        for pairs in self.idle.values():
            for _, writer in pairs:
                writer.close()


def route(name, host, prefix, **more):
    return {"name": name, "host": host, "pathPrefix": prefix, "type": "idempotent",
            "timeoutMs": 2500, "targetLatencyMs": 400, "priority": 1, "attempts": 2, **more}


def configuration(version, routes, services, connections=96):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/health", "maxConnections": connections,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def run_case(scenario):
    """Runs `scenario(record, folder, trouble)`, which returns the list of breaches, or raises an
    error if the case cannot run. Exits with 1, 0 or 2."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    random.seed(int(os.environ.get("SEED", "1")))

    async def run():
        record = Record(folder / "record.txt")
        with tempfile.TemporaryDirectory() as temporary:
            try:
                breaches = await asyncio.wait_for(scenario(record, temporary, trouble), 115)
            finally:
                record.write()
        for breach in breaches:
            record.add("BROKEN", breach)
        record.add("result:", f"{len(breaches)} breaches")
        record.write()
        return breaches

    try:
        breaches = asyncio.run(run())
    except Exception as problem:
        # Any error of the case itself is no breach.
        print(f"the case could not run: {problem!r}")
        sys.exit(2)
    print(f"{len(breaches)} breaches" + "".join(f"\n  {b}" for b in breaches[:10]))
    sys.exit(1 if breaches else 0)
