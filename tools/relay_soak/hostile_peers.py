"""Callers and strangers that try to make hosts run out of memory, in every run of the soak."""

import asyncio
import pathlib
import random
import re
import socket

from relay_soak.hosts import standin

# Memory that hosts are told to keep within, in MiB; small, so that the limits are reached.
MEMORY = 64
CALLERS_PORT, METRICS_PORT, HOSTS_PORT = 20110, 20112, 20113
BODY = 250_000
# Bytes that may be held when all callers are gone: connections without a request.
IDLE_BYTES = 500_000


def post(request, length):
    return (f"POST /once/{request} HTTP/1.1\r\nHost: h\r\nX-Waxwingdyke-Request-Id: {request}\r\n"
            f"X-Waxwingdyke-Deadline-Ms: 2000\r\nContent-Length: {length}\r\n\r\n").encode()


class HostilePeers:
    """Mixin of `Soak`. It draws from a generator of its own, so that the schedule of the other faults
    of a seed does not depend on it."""

    async def harass(self):
        draw = random.Random(f"hostile-{self.seed}")
        kinds = (self.stall, self.drip, self.leave_unread, self.send_as_stranger)
        while self.now() < self.ends - 3:
            await asyncio.sleep(draw.uniform(0.2, 1.0))
            kind, host = draw.choice(kinds), draw.choice(self.hosts)
            count, seconds = draw.randint(20, 150), draw.uniform(0.5, 3.0)
            await asyncio.gather(*(self.harm(kind, host, n, seconds) for n in range(count)))

    async def harm(self, kind, host, number, seconds):
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
        port = HOSTS_PORT if kind == self.send_as_stranger else CALLERS_PORT
        # Identifies a request of the run that no check expects an answer to.
        request = f"{self.seed:x}-hostile-{int(self.now() * 1000)}-{number}"
        try:
            await asyncio.get_running_loop().sock_connect(connection, (host.address, port))
            await asyncio.wait_for(kind(connection, request, seconds), seconds)
        except (OSError, asyncio.TimeoutError):
            pass  # the host has ended the connection, or is down
        finally:
            connection.close()

    async def stall(self, connection, request, seconds):
        """Stops one byte before the end of a body."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, post(request, BODY) + b"x" * (BODY - 1))
        await asyncio.sleep(seconds)

    async def drip(self, connection, request, _seconds):
        """Sends most of a body, and then a byte now and then."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, post(request, BODY) + b"x" * (BODY // 2))
        while True:
            await asyncio.sleep(0.1)
            await loop.sock_sendall(connection, b"x")

    async def leave_unread(self, connection, request, seconds):
        """Sends requests and reads no answer."""
        calls = b"".join(standin.format_call(f"{request}-{n}", f"/one/{request}-{n}", b"", 2000)
                         for n in range(20))
        await asyncio.get_running_loop().sock_sendall(connection, calls)
        await asyncio.sleep(seconds)

    async def send_as_stranger(self, connection, request, _seconds):
        """Sends a body to the port for other hosts."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, post(request, 60_000_000))
        while True:
            await loop.sock_sendall(connection, b"x" * 65536)

    async def check_memory(self):
        """After the calm down: no host has exceeded its memory, and what was held has returned."""
        for host in self.hosts:
            status = pathlib.Path(f"/proc/{host.process.pid}/status").read_text()
            peak = int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / 1024
            self.peak_memory = max(self.peak_memory, peak)
            if peak > MEMORY:
                self.problem(f"host {host.number} has held {peak:.0f} MiB, allowed {MEMORY}")
            reader, writer = await asyncio.open_connection(host.address, METRICS_PORT)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            text = (await reader.read()).decode()
            writer.close()
            for use, held in re.findall(r"relay_memory_held_bytes_(\w+) (\d+)", text):
                if int(held) > IDLE_BYTES:
                    self.problem(f"host {host.number} still holds {held} bytes for {use}")
