"""Stand-ins for the platform, discovery, cache servers and clients, and the record of a run.

One process, one asyncio loop; the router is started as a process of its own with `run` of
deploy/balancer.toml. Every address is a loopback address with a free port. The stand-ins follow
../given/docs: PROTOCOL (commands, answers, lists) and DEPLOY (what a router is told).
"""
import asyncio
import json
import logging
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played."""


class Record:
    """A record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()
        self.line(f"TROUBLE={'1' if TROUBLE else '0'}")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


def run_command():
    """The value of `run` in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            name, _, value = line.partition("=")
            if name.strip() == "run":
                return json.loads(value.strip())
    raise CouldNotRun("no run in deploy/balancer.toml")


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % probe.getsockname()[1]


def split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


def encode(*words):
    """A command as an array of bulk strings."""
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word.encode() if isinstance(word, str) else word
        parts += [b"$%d\r\n" % len(word), word, b"\r\n"]
    return b"".join(parts)


def reply(value, word=None, report=None):
    """A cache server's answer: value or receipt, how it went, load report."""

    def bulk(item):
        if item is None:
            return b"$-1\r\n"
        item = item.encode() if isinstance(item, str) else item
        return b"$%d\r\n%s\r\n" % (len(item), item)

    return b"*3\r\n" + bulk(value) + bulk(word) + bulk(report)


def new_id():
    return "%016x" % random.getrandbits(64)


async def read_command(reader):
    """One command: its words. None at the end of the stream."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        return None
    words = []
    for _ in range(int(line[1:])):
        size = int((await reader.readline())[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def read_reply(reader):
    """One RESP2 reply as Python data; an error line as str. Raises at the end of the stream."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise EOFError
    kind, rest = line[:1], line[1:-2]
    if kind in (b"-", b"+"):
        return line[:-2].decode()
    if kind == b"$":
        size = int(rest)
        return None if size < 0 else (await reader.readexactly(size + 2))[:-2]
    if kind == b"*":
        return [await read_reply(reader) for _ in range(int(rest))]
    raise ValueError(line)


def is_served(answer):
    return isinstance(answer, list) and isinstance(answer[0], bytes)


class Server:
    """A cache server. `handle(server, command, writer)` is a coroutine that gives the bytes of the
    answer, or None if it has written or withheld it itself. Commands are begun at once and answered
    in order."""

    def __init__(self, name, record, handle, site="a", block=0):
        self.name, self.record, self.handle = name, record, handle
        self.site, self.block = site, block
        self.began = []  # (time, command words) when the last byte had come
        self.writers = set()

    async def start(self):
        self.listener = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=16 << 20, backlog=1024
        )
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]
        return self

    def entry(self, health="up", born_ms=0):
        return {"host": self.name, "dial": self.address, "site": self.site, "class": "m2",
                "block": self.block, "health": health, "share": 1.0, "born_ms": born_ms}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        pending = asyncio.Queue()
        answering = asyncio.ensure_future(self.answer(pending, writer))
        try:
            while (words := await read_command(reader)) is not None:
                if words[0].upper() in (b"C.GET", b"C.SET"):
                    self.began.append((self.record.now(), words))
                    work = asyncio.ensure_future(self.handle(self, words, writer))
                elif words[0].upper() in (b"CLIENT", b"SELECT"):
                    work = asyncio.ensure_future(ready(b"+OK\r\n"))
                elif words[0].upper() == b"PING":
                    work = asyncio.ensure_future(ready(b"+PONG\r\n"))
                else:
                    work = asyncio.ensure_future(ready(b"-ERR\r\n"))
                pending.put_nowait(work)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            answering.cancel()
            self.writers.discard(writer)
            writer.close()

    async def answer(self, pending, writer):
        try:
            while True:
                data = await asyncio.shield(await pending.get())
                if data is not None:
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            pass


async def ready(data):
    return data


class Discovery:
    """Discovery over HTTP/1.1: the whole list first, then what changes, an empty line every 2 s."""

    def __init__(self, record, entries):
        self.record, self.seq = record, 41
        self.entries = {entry["host"]: entry for entry in entries}
        self.watches = set()
        self.before_answer = None  # a coroutine that delays a call

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]
        return self

    def list(self, entries=None, whole=True):
        hosts = list(self.entries.values()) if entries is None else entries
        return {"seq": self.seq, "whole": whole, "hosts": hosts}

    def change(self, entry):
        self.seq += 1
        self.entries[entry["host"]] = entry
        if entry["health"] == "removed":
            del self.entries[entry["host"]]
        for queue in list(self.watches):
            queue.put_nowait(self.list([entry], whole=False))

    async def serve(self, reader, writer):
        queue = asyncio.Queue()
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.record.line(f"discovery called: {head.split(b' HTTP')[0].decode()}")
            if self.before_answer:
                await self.before_answer()
            text = json.dumps(self.list()).encode()
            if b"watch=1" not in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.add(queue)
            self.chunk(writer, text + b"\n")
            while True:
                try:
                    item = json.dumps(await asyncio.wait_for(queue.get(), 2.0)).encode()
                except asyncio.TimeoutError:
                    item = b""
                self.chunk(writer, item + b"\n")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.discard(queue)
            writer.close()

    def chunk(self, writer, data):
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))


def request_class(name, effect, target, give_up, span=5.0, group="all", credit=1.0, late=0.5):
    return {"name": name, "effect": effect, "group": group, "memory_span": span, "target": target,
            "give_up": give_up, "credit": credit, "late_value": late, "stream": False}


def jateng_classes():
    """The classes of the deployment jateng-sekolah."""
    return [request_class("ambil-soal", "idempotent", 0.3, 0.75),
            request_class("kirim-jawaban", "deduplicated", 0.6, 1.2, span=2.0, credit=8.0)]


def settings(classes, **changes):
    """Settings like those of jateng-sekolah: the example of WIRE."""
    value = {
        "clients": {"marks_retry": True}, "counted_by": "work",
        "customers": [{"name": "sekolah-negeri", "quota_per_s": 376.0, "share": 0.68},
                      {"name": "madrasah-swasta", "quota_per_s": 177.0, "share": 0.32}],
        "deductions": {"connection": 0.08, "handshake": 0.08, "cross_zone": 0.03},
        "discovery": "subscribe", "family": "cache",
        "invariants": {"ask_within": 10.0, "cold": 8.9, "cold_from": 0.31, "drain_grace": 0.25,
                       "fall": 2.0, "grace_to_answer": 0.02, "overload_factor": 2.5},
        "kinds": ["m2"],
        "limits": {"cancel": True, "conn_idle": 15.0, "cpu_us_per_request": 10.0,
                   "cpu_us_per_s": 10666, "dial_timeout": 0.12, "max_attempts": 5,
                   "max_open": 26666, "max_retry_after": 1.0, "may_duplicate": True,
                   "peer_messages": True, "probes": True, "retry_after": True,
                   "streams_per_conn": 128},
        "over_share_worth": 0.2, "peers_total": 3, "request_classes": classes, "slot_no": 0,
        "specifics": {"mode": "through", "origin_fall": 3.0, "origin_fall_multiple": 0.0,
                      "origin_kind": -1},
        "stages": ["pack-cache"], "stats": {"columns": [], "how": "off"}, "tick": 0.005, "tier": 0,
        "weight_kind": "rough", "zone": "a", "zones": ["a"],
    }
    for name, change in changes.items():
        if isinstance(change, dict) and isinstance(value.get(name), dict):
            value[name].update(change)
        else:
            value[name] = change
    return value


class Platform:
    """Starts routers as DEPLOY says, and ends them with the test."""

    def __init__(self, record):
        self.record, self.routers = record, []
        self.folder = tempfile.mkdtemp(prefix="asterport-review-")

    def start(self, name, config, listener=None, tmpdir=None, env=None):
        """Starts `run`. `listener`: a socket that the platform holds, given as descriptor 3."""
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w") as file:
            json.dump(config, file)
        tmp = tmpdir or os.path.join(self.folder, f"{name}.tmp")
        os.makedirs(tmp, exist_ok=True)
        variables = {key: value for key, value in os.environ.items()
                     if not key.startswith(("GW_", "ASTERPORT_"))}
        variables.update({"GW_CONFIG": path, "TMPDIR": tmp, **(env or {})})
        command, options = run_command(), {"stdin": subprocess.DEVNULL}
        if listener is not None:
            command = f"exec 3<&0 0</dev/null; export GW_FD=3; {command}"
            options["stdin"] = listener
        log = open(os.path.join(self.folder, f"{name}.log"), "w")
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=variables,
                                   stdout=log, stderr=log, **options)
        self.routers.append((name, process, log.name))
        self.record.line(f"platform: {name} started, pid {process.pid}")
        return process

    def signal(self, process, number):
        name = next(name for name, other, _ in self.routers if other is process)
        self.record.line(f"platform: {signal.Signals(number).name} to {name}")
        process.send_signal(number)

    def end(self):
        for _, process, _ in self.routers:
            if process.poll() is None:
                process.kill()
            process.wait()
        for name, process, log in self.routers:
            with open(log) as file:
                for line in file.read().splitlines()[-40:]:
                    self.record.line(f"log of {name}: {line}")
            self.record.line(f"{name} ended with {process.returncode}")
        shutil.rmtree(self.folder, ignore_errors=True)


def memory_kb(process):
    """Resident memory and its part that is neither a file's nor shared, in KB; 0 of one that has ended."""
    try:
        with open(f"/proc/{process.pid}/status") as file:
            fields = dict(line.split(":", 1) for line in file if ":" in line)
    except OSError:
        return 0, 0
    return tuple(int(fields.get(name, "0").split()[0]) for name in ("VmRSS", "RssAnon"))


async def connect(address, limit=16 << 20):
    host, port = split(address)
    return await asyncio.open_connection(host, port, limit=limit)


async def wait_for_pong(address, seconds=10.0):
    """Waits as the front does: a router is used once it has answered PING with +PONG."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            reader, writer = await connect(address)
            writer.write(encode("PING"))
            answer = await asyncio.wait_for(read_reply(reader), 1.0)
            writer.close()
            if answer == "+PONG":
                return
        except (OSError, EOFError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.02)
    raise CouldNotRun("the router gave no +PONG")


async def http(address, method, path, body=""):
    """One operators' call; its status, 0 if none came within 1 s."""

    async def call():
        reader, writer = await connect(address)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                     f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}".encode())
        line = await reader.readline()
        writer.close()
        return int(line.split()[1])

    try:
        return await asyncio.wait_for(call(), 1.0)
    except (OSError, IndexError, asyncio.TimeoutError):
        return 0


async def wait_until_ready(admin, seconds=6.0):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if await http(admin, "GET", "/api/ready") == 200:
            return
        await asyncio.sleep(0.02)
    raise CouldNotRun("the router did not get ready")


def play(path, case):
    """Plays `case(record, platform)`, a coroutine that returns whether the rule held, writes the record
    to `path`, and exits."""
    record = Record(path)
    platform = Platform(record)
    loop = asyncio.new_event_loop()
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    loop.set_exception_handler(lambda loop, context: None)  # peers that a stand-in has left
    code = COULD_NOT_RUN
    try:
        code = HELD if loop.run_until_complete(asyncio.wait_for(case(record, platform), 110)) else BROKEN
    except CouldNotRun as error:
        record.line(f"could not run: {error}")
    except Exception as error:  # noqa: BLE001 - whatever it is, the case could not be played
        record.line(f"could not run: {type(error).__name__}: {error}")
    finally:
        platform.end()
        verdict = {HELD: "the rule held", BROKEN: "the rule was broken"}
        record.line(verdict.get(code, "the case could not run"))
        record.file.close()
        os._exit(code)  # the stand-ins are not to be told one by one
