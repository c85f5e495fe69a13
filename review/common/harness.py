"""Stand-ins and helpers that the cases share: the platform, discovery, cache servers and clients.

Everything runs on loopback addresses and free ports. The router is started with the `run` command of
deploy/balancer.toml as a separate process; the stand-ins live in the process of the case.
"""

import asyncio
import fcntl
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import termios
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes record.txt in the folder of the case; each line begins with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.line(f"trouble={'on' if TROUBLE else 'off'}")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.4f} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def settings():
    """Settings of a small deployment, in the ranges of jateng-sekolah."""

    def request_class(name, effect, target, give_up, credit):
        return {
            "name": name, "effect": effect, "group": "all", "memory_span": 2.0,
            "target": target, "give_up": give_up, "credit": credit, "late_value": 0.5,
        }

    return {
        "peers_total": 4, "slot_no": 0,
        "zones": ["solo"], "zone": "solo", "kinds": ["cepat", "lambat"],
        "request_classes": [
            request_class("ambil-soal", "idempotent", 0.3, 0.75, 1.0),
            request_class("kirim-jawaban", "deduplicated", 0.6, 1.2, 8.0),
        ],
        "customers": [{"name": "sekolah-negeri", "quota_per_s": 1000.0, "share": 1.0}],
        "discovery": "subscribe", "family": "cache", "counted_by": "work", "weight_kind": "rough",
        "clients": {"marks_retry": True},
        "invariants": {
            "ask_within": 10.0, "grace_to_answer": 0.02, "drain_grace": 0.25, "cold_from": 0.31,
            "cold": 8.9, "overload_factor": 2.5, "fall": 2.0,
        },
        "limits": {
            "max_attempts": 5, "may_duplicate": True, "cancel": True, "conn_idle": 15.0,
            "dial_timeout": 0.12, "retry_after": True, "max_retry_after": 1.0, "streams_per_conn": 128,
        },
        "specifics": {"mode": "through"},
        "stats": {"how": "off"},
    }


class Router:
    """The router in service, started as the platform starts it."""

    def __init__(self, record, discovery, known, memory_mb=192, sockets=1024):
        self.record = record
        self.port = free_port()
        self.folder = tempfile.mkdtemp(prefix="asterport-review-")
        self.temporary = os.path.join(self.folder, "tmp")
        os.mkdir(self.temporary)
        self.memory_mb = memory_mb
        listen = f"127.0.0.1:{self.port}"
        configuration = {
            "name": "n1", "listen": listen, "discovery": discovery, "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": known, "settings": settings(),
        }
        path = os.path.join(self.folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(configuration, file)
        self.environment = {
            name: value for name, value in os.environ.items()
            if not name.startswith("GW_") and name != "ASTERPORT_OPERATOR_FILE"
        }
        self.environment.update(
            GW_NAME="n1", GW_LISTEN=listen, GW_DISCOVERY=discovery, GW_CONFIG=path, TMPDIR=self.temporary,
        )
        self.process = None

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        self.log = open(os.path.join(self.folder, "log.txt"), "wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=self.environment, stderr=self.log, stdout=self.log,
        )
        self.record.line(f"router started with `{command}`")
        for _ in range(300):
            if self.process.returncode is not None:
                raise RuntimeError(f"the router ended with {self.process.returncode}")
            try:
                client = await Client.connect(self.port)
                answer = await client.ask([b"PING"])
                client.close()
                if answer == b"+PONG\r\n":
                    self.record.line("router answers PING with +PONG")
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("the router does not answer PING")

    @property
    def pid(self):
        return self.process.pid

    def memory_kib(self):
        with open(f"/proc/{self.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
        return 0

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            os.kill(self.pid, number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        if self.process is not None:
            self.log.close()
            with open(os.path.join(self.folder, "log.txt"), encoding="utf-8", errors="replace") as log:
                for line in log.read().splitlines()[-20:]:
                    self.record.line(f"router's log: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


class Discovery:
    """Discovery over HTTP/1.1: the whole list, and watches with an empty line every 2 s."""

    def __init__(self, servers):
        self.servers = servers

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]

    def list(self):
        return {"seq": 1, "whole": True, "hosts": [server.entry() for server in self.servers]}

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            text = json.dumps(self.list()).encode() + b"\n"
            if b"watch=1" not in head.split(b"\r\n")[0]:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if b"after=1 " in head:
                text = b"\n"
            while True:
                writer.write(b"%x\r\n%s\r\n" % (len(text), text))
                await writer.drain()
                await asyncio.sleep(2.0)
                text = b"\n"
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def read_command(reader):
    """One command of RESP2: an array of bulk strings."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    arguments = []
    for _ in range(count):
        length = int((await reader.readuntil(b"\r\n"))[1:-2])
        arguments.append((await reader.readexactly(length + 2))[:-2])
    return arguments


def encode_command(arguments):
    parts = [b"*%d\r\n" % len(arguments)]
    parts += [b"$%d\r\n%s\r\n" % (len(argument), argument) for argument in arguments]
    return b"".join(parts)


def served(value):
    """A cache server's answer: the value, how the read went, no load report."""
    return b"*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value)


async def read_answer(reader):
    """The bytes of one whole answer of a router."""
    line = await reader.readuntil(b"\r\n")
    if line[:1] == b"$" and line != b"$-1\r\n":
        return line + await reader.readexactly(int(line[1:-2]) + 2)
    if line[:1] == b"*":
        for _ in range(int(line[1:-2])):
            line += await read_answer(reader)
    return line


def is_served(answer):
    """A bulk string that is not null, or an array that begins with one."""
    if answer.startswith(b"*"):
        answer = answer.split(b"\r\n", 1)[1]
    return answer.startswith(b"$") and not answer.startswith(b"$-1")


def kind_of(answer):
    if answer is None:
        return "no answer"
    if is_served(answer):
        return "served"
    return "refused" if answer.startswith(b"-BUSY") else "failed"


class CacheServer:
    """A cache server. It answers a command at once with `value_of(arguments)`."""

    def __init__(self, record, name, value_of=None):
        self.record = record
        self.name = name
        self.value_of = value_of or (lambda arguments: b"value of " + arguments[1])
        # (seconds since the start, command, key, id, fields) of each command that ran.
        self.ran = []

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 23)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]

    def entry(self):
        return {
            "host": self.name, "dial": self.address, "site": "solo", "class": "cepat", "block": 1,
            "health": "up", "share": 1.0, "born_ms": 0,
        }

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                arguments = await read_command(reader)
                await self.handle(arguments, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(self, arguments, writer):
        if arguments[0] not in (b"C.GET", b"C.SET"):
            writer.write(b"+PONG\r\n" if arguments[0] == b"PING" else b"+OK\r\n")
            return await writer.drain()
        words = [word.decode() for word in arguments[:4]]
        self.ran.append((self.record.now(), *words))
        self.record.line(f"{self.name} ran {' '.join(words)}")
        await self.answer(arguments, writer)

    async def answer(self, arguments, writer):
        writer.write(served(self.value_of(arguments)))
        await writer.drain()


class Client:
    """A connection of a client."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.socket = writer.get_extra_info("socket")

    @staticmethod
    async def connect(port, receive_buffer=None):
        plain = socket.socket()
        if receive_buffer:
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        plain.setblocking(False)
        await asyncio.get_running_loop().sock_connect(plain, ("127.0.0.1", port))
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Client(*await asyncio.open_connection(sock=plain, limit=1 << 16))

    async def send(self, arguments):
        self.writer.write(encode_command(arguments))
        await self.writer.drain()

    async def ask(self, arguments):
        await self.send(arguments)
        return await read_answer(self.reader)

    def unacknowledged_bytes(self):
        """Bytes that this machine has not yet had acknowledged by the router's machine."""
        in_transport = self.writer.transport.get_write_buffer_size()
        answer = fcntl.ioctl(self.socket.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
        return in_transport + struct.unpack("i", answer)[0]

    def close(self):
        self.writer.close()


async def start_fleet(record, servers, **limits):
    """Starts the cache servers, discovery and one router."""
    for server in servers:
        await server.start()
    discovery = Discovery(servers)
    await discovery.start()
    router = Router(record, discovery.address, discovery.list(), **limits)
    return router


def run_case(folder, case):
    """Runs `case(record)`, which returns HELD or BROKEN, for at most 110 s, and exits."""
    record = Record(folder)

    async def bounded():
        return await asyncio.wait_for(case(record), 110)

    try:
        result = asyncio.run(bounded())
    except Exception as error:  # the case could not run
        record.line(f"could not run: {type(error).__name__}: {error}")
        result = NOT_RUN
    record.line({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "no result"}[result])
    print(f"{os.path.basename(folder)}: exit {result}")
    sys.exit(result)
