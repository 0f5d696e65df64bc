"""Relay hosts as processes, and proxies that disturb their connections."""

import asyncio
import os
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "platform"))
import standin  # noqa: E402

TEMPLATE = ROOT / "platform/settings.yaml.template"
BINARY = ROOT / "build/release/bin/waxwing-relay"
ZONES = ["z0", "z1", "z2"]
# Time in which a host notices changes once nothing disturbs it, and callers are served again.
CALM_TIME = 6.0


class Proxy(standin.Listener):
    """Passes connections on. `mode`: pass, cut (nothing passes), one_way (answers do not pass)."""

    def __init__(self, host, target):
        super().__init__(host)
        self.target, self.mode, self.delay = target, "pass", 0.0

    async def serve(self, reader, writer):
        while self.mode == "cut":
            await asyncio.sleep(0.05)
        await self.forward(reader, writer)

    async def forward(self, reader, writer, owner=None):
        to_reader, to_writer = await asyncio.open_connection(*self.target())
        self.note_port(to_writer, owner)
        self.writers.add(to_writer)
        try:
            await asyncio.gather(self._pump(reader, to_writer, False, owner),
                                 self._pump(to_reader, writer, True, owner))
        finally:
            self.writers.discard(to_writer)
            to_writer.close()

    def note_port(self, writer, owner):
        pass

    async def _pump(self, reader, writer, answers, owner):
        while data := await reader.read(65536):
            await asyncio.sleep(self.delay)
            while (self.mode == "cut" or (answers and self.mode == "one_way")
                   or (owner and owner.cut)):
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
        raise ConnectionResetError  # ends the other direction too


class ServerPath(Proxy):
    """The path from all hosts to a server. It is cut for single hosts while their `cut` is set."""

    def __init__(self, host, target, hosts, owners):
        super().__init__(host, target)
        self.hosts, self.owners = hosts, owners

    async def serve(self, reader, writer):
        # Hosts share the source address, so a connection is attributed by its socket.
        owner = find_owner(writer, self.hosts)
        if owner:
            owner.connections.add(writer)
        try:
            while self.mode == "cut" or (owner and owner.cut):
                await asyncio.sleep(0.05)
            await self.forward(reader, writer, owner)
        finally:
            if owner:
                owner.connections.discard(writer)

    def note_port(self, writer, owner):
        # Connections to different servers may have the same port at this end.
        ports = tuple(writer.get_extra_info(name)[1] for name in ("peername", "sockname"))
        self.owners[ports] = owner


def find_owner(writer, hosts):
    """The host whose process has opened the connection; None if it is closed already."""
    ports = [writer.get_extra_info(name)[1] for name in ("peername", "sockname")]
    addresses = [f"0100007F:{port:04X}" for port in ports]
    with open("/proc/net/tcp") as table:
        rows = (line.split() for line in table)
        inode = next((row[9] for row in rows if row[1:3] == addresses), None)
    for host in hosts() if inode else ():
        try:
            folder = f"/proc/{host.process.pid}/fd"
            if any(os.readlink(f"{folder}/{name}") == f"socket:[{inode}]"
                   for name in os.listdir(folder)):
                return host
        except OSError:
            continue  # the process or the descriptor is gone
    return None


class Host:
    """A relay host as a process, behind proxies for its callers and for the store. `more`: lines
    added to its settings."""

    def __init__(self, number, network, seeds, store, folder, binary=BINARY, more=""):
        self.number, self.address = number, f"{network}.{number + 1}"
        self.seeds, self.folder, self.process = seeds, folder, None
        self.binary, self.more, self.zone = binary, more, ZONES[number % len(ZONES)]
        # `cut`: nothing passes between the host and all servers.
        self.cut, self.cut_until, self.connections = False, 0.0, set()
        self.interrupted_at, self.store_disturbed_until, self.broken_until = 0.0, 0.0, 0.0
        self.disturbed_until, self.stopping, self.starting = 0.0, False, asyncio.Lock()
        self.callers = Proxy("127.0.0.1", lambda: (self.address, 20110))
        self.store = Proxy("127.0.0.1", lambda: ("127.0.0.1", store.port))

    async def open(self):
        await self.callers.open()
        await self.store.open()
        await self.start()

    def write_settings(self):
        self.settings = self.folder / f"host-{self.number}.yaml"
        self.settings.write_text(
            f"host: h{self.number}\nzone: {self.zone}\n"
            "regions: {z0: r0, z1: r1, z2: r2}\nlisten:\n"
            + "".join(f"  {name}: {self.address}:{port}\n" for name, port in
                      (("callers", 20110), ("ready", 20111), ("metrics", 20112),
                       ("gossip", 20113)))
            + f"store: 127.0.0.1:{self.store.port}\n"
            f"seeds: [{', '.join(f'{s}:20113' for s in self.seeds)}]\n" + self.more)

    async def start(self):
        # Two faults may start the host again at once; only one process may be left.
        async with self.starting:
            if self.process and self.process.returncode is None:
                return
            self.write_settings()
            with open(self.folder / f"host-{self.number}.log", "a") as log:
                self.process = await asyncio.create_subprocess_exec(
                    str(self.binary), "--settings", str(self.settings), stdout=log, stderr=log)
        self.stopping = False
        self.interrupted_at = asyncio.get_running_loop().time()
        self.disturb(1.0)

    def disturb(self, seconds, of_store=False):
        now = asyncio.get_running_loop().time()
        if of_store:
            self.store_disturbed_until = max(self.store_disturbed_until, now + seconds)
        else:
            self.broken_until = max(self.broken_until, now + seconds)
        self.disturbed_until = max(self.disturbed_until, now + seconds + CALM_TIME)

    def send(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
