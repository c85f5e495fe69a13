"""A long write that its client has written whole waits while slow writers hold the write memory."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from lab import *  # noqa: E402,F403

SLOW_WRITERS = 17
SLOW_BYTES = 4 << 20  # "up to 4 MiB"
FIRST_BYTES = 3_700_000
SLOW_SECONDS = 6.0  # "peers take seconds to write"
PIECE_EVERY = 0.05
LONG_BYTES = 1 << 20
TIME_MS = 1200  # the class's own give_up
LATE_S = 0.5  # "up to half a second after its time it only earns nothing"
SLACK_S = 0.05


async def serve(server, words, writer):
    await asyncio.sleep(0.05)
    name = words[0].decode().upper()
    value = b"receipt" if name == "C.SET" else b"value of " + words[1]
    server.record.line(f"{server.name} ran {name} id={words[2].decode()}")
    return reply(value, None if name == "C.SET" else "hit")


def write_command(key, value):
    identifier = new_id()
    fields = f"c=kirim-jawaban,t=sekolah-negeri,d={TIME_MS},k={new_id()}"
    return identifier, encode("C.SET", key, identifier, fields, value)


async def slow_writer(record, address, number):
    reader, writer = await connect(address)
    identifier, command = write_command(new_id(), b"s" * SLOW_BYTES)
    writer.write(command[:FIRST_BYTES])
    await writer.drain()
    rest = command[FIRST_BYTES:]
    pieces = int(SLOW_SECONDS / PIECE_EVERY) if TROUBLE else 1
    size = len(rest) // pieces + 1
    for at in range(0, len(rest), size):
        writer.write(rest[at:at + size])
        if TROUBLE:
            await asyncio.sleep(PIECE_EVERY)
    await writer.drain()
    record.line(f"slow writer {number} has written its last byte, id={identifier}")
    answer = await asyncio.wait_for(read_reply(reader), 30)
    record.line(f"slow writer {number} answered: {answer}")
    writer.close()


async def long_write(record, address, number):
    """Writes at once, and waits for the answer past its time. Returns whether it came."""
    loop = asyncio.get_running_loop()
    sock = socket.create_connection(split(address))
    identifier, command = write_command(new_id(), b"w" * LONG_BYTES)
    begun = record.now()
    await loop.run_in_executor(None, sock.sendall, command)
    written = record.now()
    record.line(f"write {number} id={identifier}: {len(command)} bytes written in "
                f"{written - begun:.3f} s, its time is {TIME_MS} ms")
    if written - begun > 0.5:
        raise CouldNotRun("the system did not take the whole command at once")
    sock.setblocking(False)
    limit = TIME_MS / 1000 + LATE_S + SLACK_S
    try:
        answer = await asyncio.wait_for(loop.sock_recv(sock, 4096), limit)
    except asyncio.TimeoutError:
        record.line(f"write {number} id={identifier}: LOST, no answer {limit:.2f} s after its last byte")
        return False
    finally:
        sock.close()
    record.line(f"write {number} id={identifier}: {answer[:60]!r} after {record.now() - written:.3f} s")
    return bool(answer)


async def case(record, platform):
    servers = [await Server(f"s-{i}", record, serve).start() for i in range(5)]
    entries = [server.entry() for server in servers]
    discovery = await Discovery(record, entries).start()
    listen = free_address()
    router = platform.start("n1", {
        "name": "n1", "listen": listen, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.list(), "settings": settings(jateng_classes())})
    await wait_for_pong(listen)
    slow = [asyncio.ensure_future(slow_writer(record, listen, i)) for i in range(SLOW_WRITERS)]
    await asyncio.sleep(1.5)
    writes = []
    for number in range(4):
        writes.append(asyncio.ensure_future(long_write(record, listen, number)))
        await asyncio.sleep(0.3)
    answered = await asyncio.gather(*writes)
    record.line(f"{answered.count(True)} of {len(answered)} writes answered; "
                f"memory {memory_kb(router)[0]} KB")
    for task in slow:
        task.cancel()
    return all(answered)


play(os.path.dirname(os.path.abspath(__file__)), case)
