"""A planned restart while clients read a long answer; does each get the answer whole?"""

import asyncio
import os
import signal
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import harness
from harness import BROKEN, HELD, TROUBLE, CacheServer, start_fleet

FOLDER = os.path.dirname(os.path.abspath(__file__))
LONG_VALUE = b"v" * (1024 * 1024)  # DAYS: some values are long, up to 4 MiB
CLIENTS = 6
PIECE, PIECE_TIME = 64 * 1024, 0.1  # a client takes 1.6 s to read the answer
TERM_AT = 0.3                       # after the clients' requests
NEXT_AFTER_TERM = 0.75              # when a client sends its next request on the open connection


class Reader:
    """A client's connection that is read in pieces, at the client's pace."""

    def __init__(self, plain):
        self.plain, self.bytes, self.ended = plain, b"", None

    async def piece(self, size):
        loop = asyncio.get_running_loop()
        try:
            part = await asyncio.wait_for(loop.sock_recv(self.plain, size), 3.0)
            self.bytes += part
            if not part:
                self.ended = "the router closed the connection"
        except asyncio.TimeoutError:
            self.ended = "nothing came for 3 s"
        except OSError as error:
            self.ended = f"{type(error).__name__}"

    async def whole(self, length):
        while len(self.bytes) < length and self.ended is None:
            await self.piece(PIECE)
            await asyncio.sleep(PIECE_TIME)
        answer, self.bytes = self.bytes[:length], self.bytes[length:]
        return answer


class Server(CacheServer):
    async def answer(self, arguments, writer):
        await super().answer(arguments, writer)
        self.record.line(f"{self.name} has written its whole answer to {arguments[2].decode()}")


async def client(router, number, record, all_asked):
    loop = asyncio.get_running_loop()
    plain = socket.socket()
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
    plain.setblocking(False)
    await loop.sock_connect(plain, ("127.0.0.1", router.port))
    plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    reader = Reader(plain)
    first, second = b"%016x" % (0x1000 + number), b"%016x" % (0x2000 + number)
    fields = b"c=ambil-soal,t=sekolah-negeri,d=750"
    await loop.sock_sendall(plain, harness.encode_command([b"C.GET", b"a%015x" % number, first, fields]))
    record.line(f"client {number} sent {first.decode()}")
    expected = harness.served(LONG_VALUE)
    reading = asyncio.ensure_future(reader.whole(len(expected)))
    await all_asked
    await asyncio.sleep(NEXT_AFTER_TERM)
    state = "ended" if reader.ended else "open"
    record.line(f"client {number} has {len(reader.bytes)} of {len(expected)} bytes; its connection is {state}")
    if reader.ended is None and not reading.done():
        try:
            await loop.sock_sendall(plain, harness.encode_command([b"C.GET", b"b%015x" % number, second, fields]))
            record.line(f"client {number} sent {second.decode()} on the same connection")
        except OSError as error:
            record.line(f"client {number} could not send its next request: {type(error).__name__}")
    answer = await reading
    whole = answer == expected
    record.line(f"client {number}: {first.decode()} got {len(answer)} of {len(expected)} bytes, "
                f"{'whole' if whole else 'LOST: ' + str(reader.ended)}")
    plain.close()
    return whole


async def case(record):
    value_of = lambda arguments: LONG_VALUE if arguments[1].startswith(b"a") else b"short"
    servers = [Server(record, f"s-{number}", value_of) for number in range(4)]
    router = await start_fleet(record, servers)
    try:
        await router.start()
        await asyncio.sleep(1.0)
        all_asked = asyncio.get_running_loop().create_future()
        clients = [asyncio.ensure_future(client(router, number, record, all_asked)) for number in range(CLIENTS)]
        await asyncio.sleep(TERM_AT)
        if TROUBLE:
            record.line("planned restart: SIGTERM")
            router.signal(signal.SIGTERM)
        all_asked.set_result(None)
        # SIGKILL comes no sooner than the longest deadline, 1.2 s, and 0.7 s more.
        ended = asyncio.ensure_future(router.process.wait())
        done, _ = await asyncio.wait([ended], timeout=1.95)
        if TROUBLE:
            record.line("the router has ended" if done else "SIGKILL")
            router.signal(signal.SIGKILL)
        results = await asyncio.gather(*clients)
        record.line(f"{len(results)} requests taken before SIGTERM, {results.count(False)} lost")
        return BROKEN if results.count(False) else HELD
    finally:
        await router.end()


harness.run_case(FOLDER, case)
