"""Tests of a relay host as a process whose backend servers send bytes without end."""

import asyncio
import re
import unittest

from host_case import CALLERS_PORT, HOST_MEMORY, TIME_LEFT_MS, HostTestCase, hosts, standin

# Bytes of one response within which a host ends the connection: those that it reads and those that wait
# in the buffers of the sockets.
LONGEST_RESPONSE = 32 << 20
# Bytes of one answer after which a caller leaves.
LONGEST_ANSWER = 1 << 20
CALLERS = 6
FILLER = b"x" * 65536
HEAD = b"HTTP/1.1 200 OK\r\n"
SIGNED = HEAD + b"X-Waxwingdyke-Response-Stamp: s\r\n"
CHUNKED = SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"
COPY = SIGNED + b"X-Waxwingdyke-Request-Id: other\r\nContent-Length: 4\r\n\r\nlate"
# Beginning of a response and what follows without end.
FORMS = {
    "no protocol": (b"", FILLER),
    "zero bytes": (b"", bytes(65536)),
    "empty lines": (b"", b"\r\n" * 32768),
    "reason phrase": (b"HTTP/1.1 200 ", FILLER),
    "field name": (HEAD, FILLER),
    "field value": (HEAD + b"X-A: ", FILLER),
    "fields": (HEAD, b"X-A: " + b"x" * 1000 + b"\r\n"),
    "short fields": (HEAD, b"a:b\r\n" * 10000),
    "folded field": (HEAD + b"X-A: b\r\n", b" folded\r\n" * 5000),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1000),
    "other responses": (b"", COPY * 500),
    "body without length": (SIGNED + b"\r\n", FILLER),
    "body with length": (SIGNED + b"Content-Length: 99999999999\r\n\r\n", FILLER),
    "body longer than stated": (SIGNED + b"Content-Length: 5\r\n\r\n", FILLER),
    "chunks": (CHUNKED, b"10000\r\n" + FILLER + b"\r\n"),
    "small chunks": (CHUNKED, b"1\r\nx\r\n" * 10000),
    "chunk size": (CHUNKED, b"0" * 65536),
    "chunk extension": (CHUNKED + b"1;a=", FILLER),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: " + b"x" * 1000 + b"\r\n"),
    "trailer field": (CHUNKED + b"0\r\nX-A: ", FILLER),
}
# Forms that begin like a sound answer of any length. Callers get them as they come, and end them.
PASSED_ON = ("body without length", "body with length", "chunks", "small chunks")


class EndlessServer(standin.Server):
    """Sends bytes in answer to a request until the connection ends."""

    def __init__(self, service, form):
        super().__init__("127.0.0.1", service, hosts.ZONES[0], 64, 0)
        # Most bytes of one response that were sent or wait to be sent.
        self.form, self.most = form, 0

    async def serve(self, reader, writer):
        await standin.read_message(reader)
        start, more = FORMS[self.form]
        writer.write(start)
        sent = len(start)
        while sent < 2 * HOST_MEMORY << 20:
            writer.write(more)
            sent += len(more)
            self.most = max(self.most, sent)
            await writer.drain()


class EndlessResponseTest(HostTestCase):
    # The size above which answers are passed on in pieces, and parts are left out.
    settings = f"memory: {{limit_mb: {HOST_MEMORY}, buffered_answer_kb: 256}}\n"

    async def serve(self, forms):
        """Starts a server for each form, and the host."""
        services = {form: f"endless-{n}" for n, form in enumerate(forms)}
        self.endless, self.routes = [], {}
        for form, service in services.items():
            server = EndlessServer(service, form)
            await self.add_server(server)
            self.endless.append(server)
            self.routes[form] = self.add_route(service)
        one = next(r for r in self.document["routes"] if r["name"] == "one")
        self.document["routes"].append({**one, "name": "parts", "pathPrefix": "/parts/",
                                        "gather": ["sound", *services.values()], "topK": 10,
                                        "minCoverage": 0.01})
        del self.document["routes"][-1]["service"]
        await self.start()

    async def call_and_leave(self, prefix):
        """Returns the status, 0 without an answer, and whether the answer is whole. Leaves after
        LONGEST_ANSWER bytes."""
        request = f"{next(self.numbers):016x}"
        reader, writer = await asyncio.open_connection(self.host.address, CALLERS_PORT)
        try:
            writer.write(standin.format_call(request, f"{prefix}{request}", b"", TIME_LEFT_MS))
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
            length = re.search(rb"Content-Length: (\d+)", head)
            size, last = 0, b""
            while size < LONGEST_ANSWER and not last.endswith(b"\r\n0\r\n\r\n"):
                if length and size >= int(length[1]):
                    break
                data = await asyncio.wait_for(reader.read(65536), 15)
                if not data:
                    return int(head.split(b" ")[1]), False
                size, last = size + len(data), (last + data)[-16:]
            return int(head.split(b" ")[1]), size < LONGEST_ANSWER
        except (ConnectionError, asyncio.IncompleteReadError):
            return 0, False
        finally:
            writer.close()

    async def check(self, server):
        form = server.form
        for _ in range(100):
            if server.most:
                break
            await asyncio.sleep(0.05)
        self.assertIsNone(self.host.process.returncode, form)
        self.assertGreater(server.most, 0, form)
        self.assertLess(server.most, LONGEST_RESPONSE, form)
        self.assertLess(self.peak_memory(), HOST_MEMORY, form)

    async def test_endless_responses_end_and_other_callers_are_served(self):
        """Guards against a host that holds all bytes of a faulty server, runs out of memory and ends
        the requests of all its callers."""
        await self.serve(FORMS)
        print(f"\n  {'before':<24} peak {self.peak_memory():6.1f} MiB")
        for server in self.endless:
            calls = [asyncio.create_task(self.call_and_leave(self.routes[server.form]))
                     for _ in range(CALLERS)]
            others = [await self.call("/one/") for _ in range(CALLERS)]
            answers = await asyncio.gather(*calls)
            statuses = [status for status, _ in answers]
            print(f"  {server.form:<24} peak {self.peak_memory():6.1f} MiB, "
                  f"at most {server.most >> 10} KiB sent", flush=True)
            self.assertEqual([200] * CALLERS, others, server.form)
            if server.form in PASSED_ON:
                self.assertNotIn((200, True), answers, server.form)
            elif "longer" not in server.form:
                self.assertNotIn(200, statuses, server.form)
            self.assertNotIn(0, statuses, server.form)
            await self.check(server)

    async def test_endless_parts_are_left_out(self):
        """Guards against the same in fan-outs, where one request has many servers."""
        await self.serve(FORMS)
        calls = [asyncio.create_task(self.call("/parts/")) for _ in range(CALLERS)]
        others = [await self.call("/one/") for _ in range(CALLERS)]
        # Some find no server of the sound shard free.
        self.assertIn(200, await asyncio.gather(*calls))
        self.assertEqual([200] * CALLERS, others)
        for server in self.endless:
            await self.check(server)
        print(f"\n  {'all forms at once':<24} peak {self.peak_memory():6.1f} MiB")


if __name__ == "__main__":
    unittest.main()
