"""A relay host as a process beside stand-ins for the store, backend servers and callers."""

import asyncio
import os
import pathlib
import re
import socket
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))
from relay_soak import hosts  # noqa: E402
from relay_soak.hosts import standin  # noqa: E402

BINARY = pathlib.Path(os.environ.get("WAXWING_BIN_DIR", ROOT / "build/release/bin"))
# Memory of the smallest hosts of the deployments, in MiB.
HOST_MEMORY = 160
CALLERS_PORT, METRICS_PORT, HOSTS_PORT = 20110, 20112, 20113
TIME_LEFT_MS = 1500


async def read_answer(reader):
    """Like `standin.read_message`, also for a body in chunks."""
    answer = await standin.read_message(reader)
    if not answer or answer[1].get("transfer-encoding") != "chunked":
        return answer
    pieces = []
    while size := int(await reader.readline(), 16):
        pieces.append(await reader.readexactly(size))
        await reader.readexactly(2)
    return answer[0], answer[1], b"".join(pieces)


class HostTestCase(unittest.IsolatedAsyncioTestCase):
    # Lines added to the settings of the host.
    settings = ""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = standin.Store("127.0.0.1")
        await self.store.open()
        # Programs under the address sanitizer keep freed memory, which would count as held here.
        os.environ["ASAN_OPTIONS"] = "quarantine_size_mb=1"
        network = f"127.1.{os.getpid() % 250 + 1}"
        self.host = hosts.Host(0, network, [f"{network}.1"], self.store,
                               pathlib.Path(folder.name), BINARY / "waxwing-relay", self.settings)
        self.numbers, self.servers = iter(range(1, 1 << 20)), []
        self.sound = standin.Server("127.0.0.1", "sound", hosts.ZONES[0], 64, 0.001)
        await self.add_server(self.sound)
        self.document = standin.routes(7, ["sound"], "sound", "sound", ())

    async def asyncTearDown(self):
        await self.host.end()
        for listener in (self.store, self.host.callers, self.host.store, *self.servers):
            listener.close()

    async def add_server(self, server):
        await server.open()
        self.servers.append(server)
        await self.store.put("servers", server.id, server.registration(server.port))

    async def start(self):
        """Starts the host and waits until it serves."""
        await self.store.put("config", "main", self.document)
        await self.host.open()
        for _ in range(200):
            if await self.call("/one/") == 200:
                return
            await asyncio.sleep(0.05)
        self.fail("the host does not become ready")

    def add_route(self, service):
        """Adds a service with a route and returns the prefix of its targets."""
        one = next(r for r in self.document["routes"] if r["name"] == "one")
        prefix = f"/{service}/"
        self.document["routes"].append({**one, "name": service, "pathPrefix": prefix,
                                        "service": service})
        self.document["services"].append({**self.document["services"][0], "name": service})
        return prefix

    async def exchange(self, prefix, body=b""):
        """Returns the answer to a call as (line, fields, body), None without an answer."""
        request = f"{next(self.numbers):016x}"
        try:
            reader, writer = await asyncio.open_connection(self.host.address, CALLERS_PORT)
        except ConnectionError:
            return None
        try:
            writer.write(standin.format_call(request, f"{prefix}{request}", body, TIME_LEFT_MS))
            return await asyncio.wait_for(read_answer(reader), 20)
        finally:
            writer.close()

    async def call(self, prefix, body=b""):
        """Returns the status, 0 without an answer."""
        answer = await self.exchange(prefix, body)
        return int(answer[0].split(" ")[1]) if answer else 0

    async def connect(self, port, is_narrow=False):
        """Opens a connection whose bytes are read only where a test does. On a narrow one the
        buffers of the system take a few packets."""
        result = socket.socket()
        result.setblocking(False)
        if is_narrow:
            result.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            result.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
        self.addCleanup(result.close)
        await asyncio.get_running_loop().sock_connect(result, (self.host.address, port))
        return result

    async def metric(self, name, host=None):
        """Value of a metric of the host, 0 if it has none."""
        reader, writer = await asyncio.open_connection((host or self.host).address, METRICS_PORT)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        text = (await reader.read()).decode()
        writer.close()
        found = re.search(rf"^{name} (\S+)$", text, re.MULTILINE)
        return float(found[1]) if found else 0.0

    def peak_memory(self):
        """Most memory that the host has held so far, in MiB."""
        status = pathlib.Path(f"/proc/{self.host.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / 1024

    def log_lines(self, text):
        """Log lines of the host that contain the text."""
        log = (self.host.folder / "host-0.log").read_text()
        return [line for line in log.splitlines() if text in line]
