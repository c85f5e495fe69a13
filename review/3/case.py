"""Clients that stop in the middle of a write and stay; do the writes of other clients get their answer?"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import harness
from harness import BROKEN, HELD, TROUBLE, CacheServer, Client, start_fleet

FOLDER = os.path.dirname(os.path.abspath(__file__))
LONG_VALUE = 4 * 1024 * 1024   # the longest value of the pages
STOPPING_CLIENTS = 16
ORDINARY_VALUE = 32 * 1024     # within the 64 KiB of PROTOCOL
ORDINARY_CLIENTS = 8
GIVE_UP = 1.2                  # d=1200, the class's deadline
ALLOWED_AFTER = 0.5 + 0.05     # STANDING: half a second after its time; PROTOCOL: 50 ms longer


async def stop_in_the_middle(router, number, record):
    """Writes the head of a write and all of its 4 MiB value but the last 64 KiB, and then stays."""
    client = await Client.connect(router.port)
    key, request = b"%016x" % (0xA000 + number), b"%016x" % (0xB000 + number)
    fields = b"c=kirim-jawaban,t=sekolah-negeri,d=1200,k=%016x" % (0xC000 + number)
    whole = harness.encode_command([b"C.SET", key, request, fields, b"v" * LONG_VALUE])
    client.writer.write(whole[: -64 * 1024])
    record.line(f"stopping client {number} wrote {len(whole) - 64 * 1024} of {len(whole)} bytes and stops")
    return client


async def ordinary_write(router, number, record):
    client = await Client.connect(router.port)
    key, request = b"%016x" % (0x1000 + number), b"%016x" % (0x2000 + number)
    fields = b"c=kirim-jawaban,t=sekolah-negeri,d=1200,k=%016x" % (0x3000 + number)
    await client.send([b"C.SET", key, request, fields, b"v" * ORDINARY_VALUE])
    for _ in range(200):
        if client.unacknowledged_bytes() == 0:
            break
        await asyncio.sleep(0.005)
    else:
        record.line(f"write {request.decode()}: not taken: not all of its bytes were acknowledged")
        return None
    sent = record.now()
    record.line(f"write {request.decode()} of {ORDINARY_VALUE} bytes: its last byte is at the router's machine")
    answer = None
    try:
        # Waits long beyond the limit, to record when an answer comes after all.
        answer = await asyncio.wait_for(harness.read_answer(client.reader), 16)
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        record.line(f"write {request.decode()}: {type(error).__name__}")
    took = record.now() - sent
    in_time = answer is not None and took <= GIVE_UP + ALLOWED_AFTER
    record.line(f"write {request.decode()}: {harness.kind_of(answer)} after {took:.3f} s, "
                f"{'in time' if in_time else 'LOST'}")
    client.close()
    return in_time


async def case(record):
    servers = [CacheServer(record, f"s-{number}") for number in range(4)]
    router = await start_fleet(record, servers, memory_mb=192, sockets=1024)
    try:
        await router.start()
        warm = [await ordinary_write(router, 100 + number, record) for number in range(4)]
        if not all(warm):
            raise RuntimeError("ordinary writes are not answered before the disruption")
        stopped = []
        if TROUBLE:
            stopped = [await stop_in_the_middle(router, number, record) for number in range(STOPPING_CLIENTS)]
        await asyncio.sleep(1.0)
        writes = []
        for number in range(ORDINARY_CLIENTS):
            writes.append(asyncio.ensure_future(ordinary_write(router, number, record)))
            await asyncio.sleep(0.25)
        results = [result for result in await asyncio.gather(*writes) if result is not None]
        record.line(f"{len(results)} writes taken, {results.count(False)} lost")
        for client in stopped:
            client.close()
        return BROKEN if results.count(False) else HELD
    finally:
        await router.end()


harness.run_case(FOLDER, case)
