"""Stand-ins for the review cases: discovery, cache servers, origin, clients and the platform's starter.

Standard library only. Everything listens on 127.0.0.1 with ports that the system gives.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not run: nothing is said about the rule."""


class Record:
    """record.txt of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8", buffering=1)
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.4f} {text}\n")

    def verdict(self, text):
        self.line(text)
        try:
            print(text, flush=True)
        except OSError:
            pass


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def deploy_command(name):
    """A command of deploy/balancer.toml."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(rf'^{name}\s*=\s*"(.*)"', file.read(), re.M)
    if not found:
        raise CannotRun(f"no command {name!r} in deploy/balancer.toml")
    return found.group(1)


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Processes:
    """Processes that the case starts; all are ended with it."""

    def __init__(self):
        self.children = []
        self.folder = tempfile.mkdtemp(prefix="mothpier-review-")

    def start(self, command, environment=None, **options):
        env = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "MOTHPIER_"))}
        env.update(environment or {})
        child = subprocess.Popen(command, cwd=ROOT, env=env, start_new_session=True, **options)
        self.children.append(child)
        return child

    def start_node(self, name, config, environment=None):
        """Starts a node with the deploy file's command, as the platform does."""
        folder = os.path.join(self.folder, name)
        scratch = os.path.join(folder, "tmp")
        os.makedirs(scratch, exist_ok=True)
        path = os.path.join(folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        log = open(os.path.join(folder, "log.txt"), "ab")
        env = {"ROUTER_CONFIG": path, "TMPDIR": scratch, **(environment or {})}
        return self.start(["/bin/sh", "-c", deploy_command("run")], env, stdout=log, stderr=log)

    def log_of(self, name):
        with open(os.path.join(self.folder, name, "log.txt"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def close(self):
        for child in self.children:
            for number in (signal.SIGCONT, signal.SIGKILL):
                try:
                    os.killpg(child.pid, number)
                except (ProcessLookupError, PermissionError):
                    pass
        for child in self.children:
            child.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def member(id, address, kind="cart", phase="ready", up_since_ms=0, zone="hill"):
    return {
        "id": id, "host_port": address, "locality": zone, "flavor": kind, "cell": 0,
        "phase": phase, "size": 1.0, "up_since_ms": up_since_ms,
    }


async def read_http(reader):
    """One HTTP request: its method, path, headers and body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, path, headers, body


def http_reply(status, body, more=""):
    body = body if isinstance(body, bytes) else body.encode()
    return f"HTTP/1.1 {status}\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Server:
    """A listening stand-in; `connection` serves one connection."""

    def __init__(self):
        self.listener = None
        self.address = None
        self.tasks = set()

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self._accepted, "127.0.0.1", port, limit=16 << 20)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]
        return self

    async def _accepted(self, reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.tasks.add(asyncio.current_task())
        try:
            await self.connection(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def connection(self, reader, writer):
        raise NotImplementedError


class Discovery(Server):
    """The agent on the node's machine: answers at once with what it has been sent, and holds watches."""

    def __init__(self, members):
        super().__init__()
        self.members, self.revision, self.changed = list(members), 1, asyncio.Event()

    def set_members(self, members):
        self.members, self.revision = list(members), self.revision + 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def connection(self, reader, writer):
        while (call := await read_http(reader)) is not None:
            _, path, _, _ = call
            after = re.search(r"after=(\d+)", path)
            wait = re.search(r"wait_ms=(\d+)", path)
            if after and int(after.group(1)) >= self.revision:
                seconds = min(int(wait.group(1)) if wait else 0, 60_000) / 1000
                try:
                    await asyncio.wait_for(self.changed.wait(), seconds)
                except asyncio.TimeoutError:
                    pass
            unchanged = bool(after) and int(after.group(1)) >= self.revision
            answer = {
                "revision": self.revision,
                "complete": not unchanged,
                "members": [] if unchanged else self.members,
            }
            writer.write(http_reply("200 OK", json.dumps(answer)))
            await writer.drain()


def resp_command(*words):
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word if isinstance(word, bytes) else word.encode()
        parts.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(parts)


def spoil_length(answer, length, told):
    """The answer with another length before its value."""
    return Spoilt(answer.replace(b"$%d\r\n" % length, b"$%d\r\n" % told, 1))


async def read_command(reader):
    """A RESP command as a list of words; None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    if not line.startswith(b"*"):
        raise ConnectionError("no command")
    words = []
    for _ in range(int(line[1:])):
        header = await reader.readline()
        words.append((await reader.readexactly(int(header[1:]) + 2))[:-2])
    return words


def extras_of(text):
    return dict(part.split("=", 1) for part in text.decode().split(",") if "=" in part)


def cache_answer(value, how="hit", report="inflight=1,queue=0,util=0.3"):
    value = value if value is None or isinstance(value, bytes) else value.encode()
    body = b"$-1\r\n" if value is None else b"$%d\r\n%s\r\n" % (len(value), value)
    return b"*3\r\n%s$%d\r\n%s\r\n$%d\r\n%s\r\n" % (body, len(how), how.encode(), len(report), report.encode())


class Spoilt(bytes):
    """An answer behind which nothing more comes on its connection."""


class CacheServer(Server):
    """A cache server; `answer` gives the bytes that answer a command."""

    def __init__(self, name, answer):
        super().__init__()
        self.name, self.answer = name, answer

    async def connection(self, reader, writer):
        # Answers come in the order of the commands; up to 32 commands of a connection are at work at once.
        queue = asyncio.Queue(32)
        answering = asyncio.create_task(self._write(queue, writer))
        try:
            while (words := await read_command(reader)) is not None:
                await queue.put(asyncio.create_task(self._one(words)))
        finally:
            answering.cancel()

    async def _one(self, words):
        if words[0] == b"PING":
            return b"+PONG\r\n"
        if words[0] not in (b"CACHE.GET", b"CACHE.SET"):
            return b"-ERR unknown\r\n"
        return await self.answer(words)

    async def _write(self, queue, writer):
        try:
            while True:
                bytes_ = await (await queue.get())
                writer.write(bytes_)
                await writer.drain()
                if isinstance(bytes_, Spoilt):
                    await asyncio.Event().wait()
        except ConnectionError:
            pass


class Client:
    """A client's connection to a node."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @staticmethod
    async def connect(address):
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port), limit=16 << 20)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Client(reader, writer)

    def send(self, *words):
        self.writer.write(resp_command(*words))

    async def answer(self):
        """The next answer: bytes for a value, str for a line; None if the connection ended before it was whole."""
        try:
            line = await self.reader.readline()
            if not line.endswith(b"\r\n"):
                return None
            if line.startswith(b"$") and line != b"$-1\r\n":
                return (await self.reader.readexactly(int(line[1:]) + 2))[:-2]
            return line[:-2].decode("latin-1")
        except (ConnectionError, asyncio.IncompleteReadError):
            return None

    async def ask(self, *words):
        self.send(*words)
        return await self.answer()

    def close(self):
        self.writer.close()


async def until_ready(child, address, seconds=30):
    """Waits until the node answers PING with +PONG."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if child.poll() is not None:
            raise CannotRun(f"the node ended at its start with {child.returncode}")
        try:
            client = await Client.connect(address)
            answer = await asyncio.wait_for(client.ask("PING"), 1)
            client.close()
            if answer == "+PONG":
                return
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.05)
    raise CannotRun("the node was not ready in time")


def run_case(folder, case):
    """Runs `case(record, processes)`, which returns whether the rule held, and exits with the code for it."""
    def ended(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, ended)
    record = Record(os.path.join(folder, "record.txt"))
    processes = Processes()
    code = CANNOT_RUN
    try:
        record.line(f"trouble: {trouble()}")
        held = asyncio.run(asyncio.wait_for(case(record, processes), 110))
        code = HELD if held else BROKEN
    except CannotRun as reason:
        record.verdict(f"could not run: {reason}")
    except (Exception, KeyboardInterrupt) as reason:  # a fault of the case must not look like a broken rule
        record.verdict(f"could not run: {reason!r}")
    finally:
        processes.close()
    record.verdict({HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "no verdict"}[code])
    sys.exit(code)


def night_post(discovery, listen, memory_mb=192, sockets=1024, balancers=1):
    """A configuration with the figures of deploy/sites/night-post, for a small deployment."""
    def read_class(name, effect, gain, late=0.0, **more):
        return {
            "name": name, "deadlineUs": 1_100_000, "goalTimeUs": 600_000, "gain": gain, "lateValue": late,
            "effect": effect, "streamed": False, **more,
        }
    return {
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "settings": {
            "balancers": balancers, "me": 0,
            "classes": [
                read_class("letter", "pure", 1.0, 0.3), read_class("round", "pure", 1.0),
                read_class("stamp", "side_effect", 4.0),
                read_class("send-letter", "token", 6.0, dedupScope="cell", dedupWindowUs=2_000_000),
            ],
            "discovery": "push", "family": "cache", "periodUs": 5000, "stage": 0,
            "limits": {
                "connectTimeoutUs": 400_000, "idleCloseUs": 30_000_000, "maxAttempts": 6, "mayCancel": True,
                "mayDuplicate": True, "multiplex": 1, "maxOpen": 20_000, "maxRetryAfterUs": 800_000,
                "peers": False, "probes": True, "retryAfter": True,
            },
            "guarantees": {
                "askWithinUs": 10_000_000, "coldShare": 0.15, "coldUs": 16_000_000, "drainGraceUs": 400_000,
                "fallMultiple": 2.5, "graceToAnswerUs": 20_000, "tipAfterUs": 1_500_000,
            },
            "machineTypes": ["cart", "van", "origin"], "realms": [],
            "report": {"fields": ["rif", "q", "busy"], "via": "piggyback"},
            "specifics": {"mode": "aside", "originKind": 2}, "weightSource": "silent",
            "zone": 0, "zones": ["hill", "port", "mill", "east", "west"],
        },
    }


def manila(discovery, listen, memory_mb=192, sockets=1024, balancers=1):
    """A configuration with the figures of the site manila-profiles-later, for a small deployment."""
    def read_class(name, effect, gain, aim, deadline, window):
        return {
            "name": name, "deadlineUs": deadline, "goalTimeUs": aim, "gain": gain, "lateValue": 0.0,
            "effect": effect, "dedupScope": "all", "dedupWindowUs": window, "streamed": False,
        }
    return {
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "settings": {
            "balancers": balancers, "me": 0,
            "classes": [
                read_class("browse", "pure", 2.0, 750_000, 1_500_000, 5_000_000),
                read_class("send-message", "side_effect", 8.0, 300_000, 1_000_000, 5_000_000),
                read_class("send-interest", "token", 3.0, 300_000, 600_000, 3_000_000),
            ],
            "discovery": "push", "family": "cache", "periodUs": 5000, "stage": 0,
            "limits": {
                "connectTimeoutUs": 120_000, "idleCloseUs": 60_000_000, "maxAttempts": 3, "mayCancel": True,
                "mayDuplicate": True, "multiplex": 32, "maxOpen": 108_208, "maxRetryAfterUs": 600_000,
                "peers": False, "probes": True, "retryAfter": True,
            },
            "guarantees": {
                "askWithinUs": 10_000_000, "coldShare": 0.12, "coldUs": 21_000_000, "drainGraceUs": 500_000,
                "fallMultiple": 3.0, "graceToAnswerUs": 20_000, "tipAfterUs": 2_000_000,
            },
            "machineTypes": ["full-box", "slow-box", "origin"],
            "realms": [{"fraction": 1.0, "name": "silverlight", "quotaPerS": 2000.0}],
            "report": {"fields": ["lat_ms", "busy"], "via": "piggyback"},
            "specifics": {"mode": "aside", "originKind": 2}, "weightSource": "silent",
            "zone": 0, "zones": ["makati-dc"],
        },
    }
