"""While one process takes over from another, each holds long values up to a budget of its own, and both
together pass the router's memory limit."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from lab import *  # noqa: E402,F403

MEMORY_MB = 192  # DEPLOY: "at most 192 MB"
LONG_BYTES = 4 << 20  # "up to 4 MiB"
SLOW_WRITERS = 17
FIRST_BYTES = 4_000_000
WRITE_SECONDS = 8.0  # "peers take seconds to read or write, in pieces of any size"
READER_EVERY_S = 0.15
READ_AFTER_S = 2.5
REPLACED_AT_S = 3.5
LONGEST_DEADLINE_S = 1.2
LONG_KEYS = ["%016x" % (0xaa00 + i) for i in range(8)]
VALUE = b"l" * LONG_BYTES


async def serve(server, words, writer):
    server.record.line(f"{server.name} ran id={words[2].decode()}")
    if words[0].upper() == b"C.SET":
        await asyncio.sleep(0.05)
        return reply(b"receipt")
    if words[1].decode() in LONG_KEYS:
        await asyncio.sleep(0.02)
        return reply(VALUE, "hit")
    await asyncio.sleep(0.2)
    return reply(b"value of " + words[1], "miss")


def connect_slowly(address):
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)  # as over a network
    sock.connect(split(address))
    return asyncio.open_connection(sock=sock, limit=1 << 15)


async def slow_writer(record, address, number):
    reader, writer = await connect(address)
    identifier = new_id()
    command = encode("C.SET", new_id(), identifier,
                     f"c=kirim-jawaban,t=sekolah-negeri,d=1200,k={new_id()}", b"s" * LONG_BYTES)
    writer.write(command[:FIRST_BYTES])
    await writer.drain()
    rest, pieces = command[FIRST_BYTES:], 100
    size = len(rest) // pieces + 1
    for at in range(0, len(rest), size):
        writer.write(rest[at:at + size])
        await asyncio.sleep(WRITE_SECONDS / pieces)
    await ended(record, f"writer {number} id={identifier}", reader, 1)
    writer.close()


async def slow_reader(record, address, number):
    """Two reads at once, the second one of a long value; it begins to read its answers late."""
    reader, writer = await connect_slowly(address)
    writer.transport.pause_reading()
    first, second = new_id(), new_id()
    fields = "c=ambil-soal,t=sekolah-negeri,d=750"
    writer.write(encode("C.GET", new_id(), first, fields) + encode("C.GET", random.choice(LONG_KEYS), second, fields))
    await asyncio.sleep(READ_AFTER_S)
    writer.transport.resume_reading()
    await ended(record, f"reader {number} id={first}, id={second}", reader, 2)
    writer.close()


async def ended(record, name, reader, count):
    try:
        for _ in range(count):
            answer = await asyncio.wait_for(read_reply(reader), 20)
            record.line(f"{name}: {len(answer[0])} bytes" if is_served(answer) else f"{name}: {answer}")
    except (EOFError, ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        record.line(f"{name}: {error!r}")


async def case(record, platform):
    servers = [await Server(f"s-{i}", record, serve).start() for i in range(8)]
    discovery = await Discovery(record, [server.entry() for server in servers]).start()
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    address = "127.0.0.1:%d" % listener.getsockname()[1]
    tmp, processes = os.path.join(platform.folder, "common.tmp"), []

    async def start():
        admin = free_address()
        processes.append(platform.start(f"p{len(processes) + 1}", {
            "name": "n1", "listen": address, "admin": admin, "discovery": discovery.address,
            "seed": "%016x" % random.getrandbits(64),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
            "known": discovery.list(), "settings": settings(jateng_classes())}, listener, tmp))
        await wait_until_ready(admin)
        record.line(f"p{len(processes)} says yes")

    async def replace():
        """Starts the next process; at its yes the old one gets SIGTERM, and SIGKILL as PROTOCOL says."""
        await start()
        old = processes[-2]
        platform.signal(old, signal.SIGTERM)
        await asyncio.sleep(LONGEST_DEADLINE_S + 0.7)
        if old.poll() is None:
            platform.signal(old, signal.SIGKILL)

    await start()
    await wait_for_pong(address)
    began, top, told, held, tasks, readers, replacing = record.now(), 0, 0, True, [], 0, None
    tasks += [asyncio.ensure_future(slow_writer(record, address, i)) for i in range(SLOW_WRITERS)]
    while held and record.now() < began + 9.0:
        if record.now() >= began + readers * READER_EVERY_S:
            tasks.append(asyncio.ensure_future(slow_reader(record, address, readers)))
            readers += 1
        if TROUBLE and not replacing and record.now() >= began + REPLACED_AT_S:
            replacing = asyncio.ensure_future(replace())
        parts = [memory_kb(process)[1] for process in processes if process.poll() is None]
        top = max(top, sum(parts))
        if record.now() >= told + 0.25:
            told = record.now()
            record.line(f"memory {sum(parts)} KB: {parts}")
        if sum(parts) > MEMORY_MB * 1024:
            record.line(f"platform: memory {sum(parts)} KB ({parts}) is over {MEMORY_MB} MB: the router is killed")
            for process in processes:
                process.kill()
            held = False
        await asyncio.sleep(0.005)
    await asyncio.wait(tasks, timeout=6)
    record.line(f"at most {top} KB")
    return held


play(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), case)
