"""Tests of a relay host as a process whose senders and readers try to make it run out of memory.

The bound is the memory that the settings state; a host that exceeds it is killed with the requests
of all its callers."""

import asyncio
import select
import signal
import time
import unittest

from host_case import CALLERS_PORT, HOST_MEMORY, HOSTS_PORT, HostTestCase, hosts, standin

BODY = 250_000
PIECE = bytes(range(256)) * 256
# Time after which a caller that does not take its answer may be cut off.
FEW_TIMES = 20


def post(length, body):
    """The head of a request with a body of `length`, and the bytes `body` of it."""
    return (f"POST /once/x HTTP/1.1\r\nHost: h\r\nX-Waxwingdyke-Request-Id: stalled\r\n"
            f"X-Waxwingdyke-Deadline-Ms: 60000\r\nContent-Length: {length}\r\n\r\n").encode() + body


class LargeServer(standin.Server):
    """Answers each request with a signed body of `size` bytes: of a stated length, in chunks, until
    the connection ends, or cut after half of the stated length."""

    def __init__(self, service, size, framing="length"):
        super().__init__("127.0.0.1", service, hosts.ZONES[0], 64, 0)
        self.size, self.framing, self.sent = size, framing, 0

    async def serve(self, reader, writer):
        while message := await standin.read_message(reader):
            head = (f"HTTP/1.1 200 OK\r\n{standin.SIGNATURE}: s\r\n"
                    f"{standin.REQUEST_ID}: {message[1][standin.REQUEST_ID]}\r\n")
            if self.framing in ("length", "cut"):
                head += f"Content-Length: {self.size}\r\n"
            elif self.framing == "chunks":
                head += "Transfer-Encoding: chunked\r\n"
            writer.write(head.encode() + b"\r\n")
            left = self.size // 2 if self.framing == "cut" else self.size
            while left > 0:
                piece = PIECE[:left]
                left -= len(piece)
                writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n"
                             if self.framing == "chunks" else piece)
                self.sent += len(piece)
                await writer.drain()
            if self.framing == "chunks":
                writer.write(b"0\r\n\r\n")
            if self.framing in ("close", "cut"):
                return


class MemoryTest(HostTestCase):
    settings = f"memory:\n  limit_mb: {HOST_MEMORY}\n"

    async def stall(self, port, count, message):
        """Sends all of the message on each of `count` connections, as far as the host takes it."""
        async def send():
            connection = await self.connect(port)
            try:
                await asyncio.wait_for(
                    asyncio.get_running_loop().sock_sendall(connection, message), 5)
            except (OSError, asyncio.TimeoutError):
                pass  # the host has ended the connection, or does not read on
            return connection
        connections = []
        for _ in range(0, count, 50):
            connections += await asyncio.gather(*(send() for _ in range(min(50, count))))
        return connections

    def answers(self, connections):
        """Statuses of the connections, by number of connections."""
        counts = {}
        for connection in connections:
            try:
                status = connection.recv(65536)[9:12].decode()
            except BlockingIOError:
                status = "none"
            except OSError:
                status = "reset"
            counts[status] = counts.get(status, 0) + 1
        return counts

    async def check_sound_callers(self, note):
        """Checks that sound callers are served and that the host has kept within its memory."""
        began = time.monotonic()
        statuses = [await self.call("/one/", bytes(size)) for size in (0, 100_000) * FEW_TIMES]
        seconds = (time.monotonic() - began) / len(statuses)
        print(f"\n  {note}: peak {self.peak_memory():.1f} MiB, {seconds * 1000:.1f} ms a call",
              flush=True)
        self.assertIsNone(self.host.process.returncode)
        self.assertLess(self.peak_memory(), HOST_MEMORY)
        self.assertEqual([200] * len(statuses), statuses)

    async def test_callers_that_stall(self):
        """Guards against callers that stop one byte before the end of a body, within its limit."""
        await self.start()
        stalled = await self.stall(CALLERS_PORT, 1200, post(BODY, b"x" * (BODY - 1)))
        await self.check_sound_callers("1,200 stalled callers")
        answers = self.answers(stalled)
        print(f"  answers: {answers}")
        # Each one that is ended is told, or its connection ends; its request has not run.
        self.assertLessEqual(set(answers), {"408", "503", "none", "reset", ""})
        self.assertGreater(await self.metric("waxwing_relay_memory_refusals_total_callers_no_room"), 0)
        self.assertNotEqual([], self.log_lines("to make room for others"))

    async def test_strangers_on_the_port_for_hosts(self):
        """Guards against bodies from anyone on the port for other hosts."""
        await self.start()
        huge = await self.stall(HOSTS_PORT, 12, post(60_000_000, b"x" * 59_999_999))
        await self.check_sound_callers("12 strangers with bodies of 60 MB")
        self.assertLessEqual(set(self.answers(huge)), {"403", "413", "reset"})
        small = await self.stall(HOSTS_PORT, 1200, post(BODY, b"x" * (BODY - 1)))
        await self.check_sound_callers("1,200 strangers with bodies of 250,000 bytes")
        self.assertLessEqual(set(self.answers(small)), {"403", "413", "reset"})
        self.assertGreater(
            await self.metric("waxwing_relay_memory_refusals_total_hosts_stranger"), 0)

    async def serve_large(self, sizes, framing="length"):
        """Starts the host with a server for each size, and returns their prefixes and servers."""
        prefixes, servers = {}, {}
        for size in sizes:
            prefixes[size] = self.add_route(f"large-{size}")
            servers[size] = LargeServer(f"large-{size}", size, framing)
            await self.add_server(servers[size])
        await self.start()
        return prefixes, servers

    async def check_large(self, framing):
        sizes = (300_000, 3_000_000, 60_000_000)
        prefixes, _ = await self.serve_large(sizes, framing)
        for size in sizes:
            for _ in range(3):
                # The second one starts while the connection of the first one may be kept.
                line, fields, body = await self.exchange(prefixes[size])
                self.assertIn(" 200 ", line)
                self.assertEqual("s", fields[standin.SIGNATURE.lower()])
                self.assertEqual(size, len(body))
                self.assertEqual((PIECE * (size // len(PIECE) + 1))[:size], body)
        await self.check_sound_callers(f"large answers, {framing}")

    async def test_large_answers_pass(self):
        """Guards against answers of servers that are thrown away for their size after they ran, and
        against a host that holds them whole."""
        await self.check_large("length")

    async def test_large_answers_in_chunks_pass(self):
        """Guards against the same where the length is not known."""
        await self.check_large("chunks")

    async def test_large_answers_until_the_connection_ends_pass(self):
        """Guards against the same where only the end of the connection ends the answer."""
        await self.check_large("close")

    async def test_cut_answer_is_not_whole(self):
        """Guards against an answer that ended early and looks whole."""
        prefixes, _ = await self.serve_large((60_000_000,), "cut")
        reader, writer = await asyncio.open_connection(self.host.address, CALLERS_PORT)
        writer.write(standin.format_call("cut", f"{prefixes[60_000_000]}cut", b"", 5000))
        answer = await asyncio.wait_for(reader.read(-1), 10)
        writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        self.assertIn(b"Content-Length: 60000000\r\n", head + b"\r\n")
        self.assertLess(len(body), 60_000_000)
        self.assertGreater(len(body), 0)
        self.assertEqual(
            1, await self.metric("waxwing_relay_answers_in_pieces_lost_total"))
        await self.check_sound_callers("cut answer")

    async def test_server_is_read_no_faster_than_its_caller(self):
        """Guards against a host that reads all of a large answer for a caller that does not."""
        size = 200_000_000
        prefixes, servers = await self.serve_large((size,))
        callers = []
        for number in range(4):
            connection = await self.connect(CALLERS_PORT, is_narrow=True)
            await asyncio.get_running_loop().sock_sendall(connection, standin.format_call(
                f"slow-{number}", f"{prefixes[size]}{number}", b"", 60000))
            callers.append(connection)
        await asyncio.sleep(1)
        await self.check_sound_callers("4 callers that do not read large answers")
        self.assertGreater(servers[size].sent, 0)
        # What the host buffers and the buffers of the system, of several connections.
        self.assertLess(servers[size].sent, 80_000_000)
        # The servers are free again when the callers are gone.
        for connection in callers:
            connection.close()
        for _ in range(50):
            if not servers[size].writers:
                break
            await asyncio.sleep(0.1)
        self.assertEqual(set(), servers[size].writers)

    async def leave_unread(self, count):
        """Sends requests of callers that do not read their answers, and returns their prefix."""
        prefix = self.add_route("large")
        await self.add_server(LargeServer("large", BODY))
        await self.start()
        loop, poller, waiting = asyncio.get_running_loop(), select.poll(), 0
        for number in range(count):
            connection = await self.connect(CALLERS_PORT, is_narrow=True)
            await loop.sock_sendall(connection, standin.format_call(
                f"unread-{number}", f"{prefix}{number}", b"", 60000))
            poller.register(connection, select.POLLIN)
            waiting += 1
            # As many at once as the server serves.
            while waiting > 30:
                begun = await loop.run_in_executor(None, poller.poll, 5000)
                self.assertNotEqual([], begun)
                for descriptor, _ in begun:
                    poller.unregister(descriptor)
                waiting -= len(begun)
        await asyncio.sleep(0.5)
        return prefix

    async def test_callers_that_do_not_read(self):
        """Guards against answers that wait without bound for callers that do not take them."""
        prefix = await self.leave_unread(2000)
        await self.check_sound_callers("2,000 callers that do not read")
        self.assertEqual(200, await self.call(prefix))

    async def test_stop_with_callers_that_do_not_read(self):
        """Guards against a stop that holds more and more answers, or does not end, because of callers
        that do not take them."""
        prefix = await self.leave_unread(400)
        calls = [asyncio.create_task(self.call(prefix)) for _ in range(4)]
        await asyncio.sleep(0.05)
        peak, began = self.peak_memory(), time.monotonic()
        self.host.send(signal.SIGTERM)
        while self.host.process.returncode is None and time.monotonic() - began < 10:
            try:
                peak = max(peak, self.peak_memory())
            except (OSError, TypeError):
                break  # the process has just ended
            await asyncio.sleep(0.1)
        self.assertEqual(0, await asyncio.wait_for(self.host.process.wait(), 5))
        print(f"\n  stop with 400 callers that do not read: peak {peak:.1f} MiB, "
              f"{time.monotonic() - began:.1f} s", flush=True)
        self.assertLess(peak, HOST_MEMORY)
        # Those that read are answered, or told that the host has no server for them.
        self.assertLessEqual(set(await asyncio.gather(*calls)), {200, 503})
        # The notice and the longest wait for requests, and a second for a busy machine.
        self.assertLess(time.monotonic() - began, 2.4 + 3.2 + 1)


if __name__ == "__main__":
    unittest.main()
