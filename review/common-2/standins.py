"""Stand-ins of the second review: cache servers, an origin, the agent of discovery, a node and its clients.

Only the standard library is used. All sockets are on 127.0.0.1, on ports that the system chooses. Where a page is
silent, the stand-ins behave like sound servers.
"""

import json
import os
import queue
import shutil
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case can't be played here; the script ends with 2."""


class Record:
    """What was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text, show=False):
        with self.lock:
            line = f"{self.now():9.4f} {text}"
            if not self.file.closed:
                self.file.write(line + "\n")
                self.file.flush()
            if show:
                try:
                    print(line, flush=True)
                except BrokenPipeError:
                    pass

    def close(self):
        with self.lock:
            self.file.close()


def troubled():
    """Whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Limit(threading.Thread):
    """Ends the script after a time, whatever it waits for."""

    def __init__(self, seconds, processes):
        super().__init__(daemon=True)
        self.seconds, self.processes = seconds, processes

    def run(self):
        time.sleep(self.seconds)
        print(f"the case did not end within {self.seconds} s", flush=True)
        self.processes.end()
        os._exit(CANNOT_RUN)


class Processes:
    """The processes of a case. All of them end with it."""

    def __init__(self, record):
        self.record, self.running = record, []
        self.folder = tempfile.mkdtemp(prefix="review-")

    def start(self, name, command, env=None, shell=False, pass_fds=()):
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**os.environ, **(env or {})},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            shell=shell,
            pass_fds=pass_fds,
        )
        log.close()
        self.running.append(process)
        self.record.write(f"process {name} started, id {process.pid}")
        return process

    def log(self, name):
        with open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def end(self):
        for process in self.running:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.running:
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                pass
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port():
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        return listener.getsockname()[1]


def listen(port=0):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(128)
    return listener


def serve(listener, handle):
    """Calls `handle` with each connection, in a thread of its own."""

    def accept():
        while True:
            try:
                stream, _ = listener.accept()
            except OSError:
                return
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=guarded, args=(handle, stream), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def guarded(handle, stream):
    try:
        handle(stream)
    except (OSError, ValueError, EOFError):
        pass
    finally:
        stream.close()


def address(listener):
    return f"{HOST}:{listener.getsockname()[1]}"


def words(line):
    """The extras of a request, by name."""
    return dict(part.split("=", 1) for part in line.split(",") if "=" in part)


# RESP2


def read_line(reader):
    line = reader.readline()
    if not line.endswith(b"\r\n"):
        raise EOFError
    return line[:-2]


def read_command(reader):
    count = int(read_line(reader)[1:])
    arguments = []
    for _ in range(count):
        length = int(read_line(reader)[1:])
        data = reader.read(length + 2)
        if len(data) != length + 2:
            raise EOFError
        arguments.append(data[:-2])
    return arguments


def encode_command(*arguments):
    parts = [b"*%d\r\n" % len(arguments)]
    for argument in arguments:
        data = argument if isinstance(argument, bytes) else str(argument).encode()
        parts.append(b"$%d\r\n%s\r\n" % (len(data), data))
    return b"".join(parts)


def read_reply(reader):
    """Returns the reply of a node: bytes for a value, or the line of another reply as text."""
    line = read_line(reader)
    if line[:1] == b"$":
        length = int(line[1:])
        if length < 0:
            return "null"
        data = reader.read(length + 2)
        if len(data) != length + 2:
            raise EOFError
        return data[:-2]
    return line.decode(errors="replace")


class CacheServer:
    """A cache server. `answer` gets the command, key, id, extras and value, and returns a value, or None for a miss."""

    def __init__(self, record, name, answer=None, service_s=0.012, up_since_ms=0):
        self.record, self.name, self.up_since_ms = record, name, up_since_ms
        self.answer = answer or (lambda command, key, id, extras, value: None)
        self.service_s = service_s
        self.received = []
        self.listener = listen()
        self.address = address(self.listener)
        serve(self.listener, self.connection)

    def connection(self, stream):
        reader = stream.makefile("rb")
        while True:
            arguments = read_command(reader)
            name = arguments[0].upper()
            if name == b"PING":
                stream.sendall(b"+PONG\r\n")
            elif name in (b"CACHE.GET", b"CACHE.SET") and len(arguments) >= 4:
                key, id, extras = (argument.decode() for argument in arguments[1:4])
                self.received.append((time.monotonic(), id))
                self.record.write(f"{self.name} got {name.decode()} key={key} id={id}")
                time.sleep(self.service_s)
                value = self.answer(name.decode(), key, id, extras, arguments[4] if len(arguments) > 4 else None)
                load = b"lat_ms=12,busy=0.20"
                if value is None:
                    stream.sendall(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$%d\r\n%s\r\n" % (len(load), load))
                else:
                    stream.sendall(
                        b"*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$%d\r\n%s\r\n" % (len(value), value, len(load), load)
                    )
            elif name == b"INFO":
                stream.sendall(b"-NOPERM\r\n")
            elif name in (b"CLIENT", b"SELECT"):
                stream.sendall(b"+OK\r\n")
            else:
                stream.sendall(b"-ERR unknown command\r\n")

    def member(self, phase="ready", id=None):
        return member(id or self.name, self.address, "box", phase, self.up_since_ms)


def member(id, host_port, flavor, phase="ready", up_since_ms=0, zone="a"):
    return {
        "id": id,
        "host_port": host_port,
        "locality": zone,
        "flavor": flavor,
        "cell": 0,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": up_since_ms,
    }


def read_http(reader):
    """Returns method, path, headers and body of a request."""
    method, path, _ = read_line(reader).decode().split(" ", 2)
    headers = {}
    while line := read_line(reader):
        name, value = line.decode().split(":", 1)
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return method, path, headers, body


def http_answer(status, body, headers=()):
    head = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(head).encode() + body


class SlowLink:
    """A link between two machines: it passes bytes on in both directions, each after `delay_s`."""

    def __init__(self, target, delay_s):
        host, port = target.rsplit(":", 1)
        self.target, self.delay_s = (host, int(port)), delay_s
        self.listener = listen()
        self.address = address(self.listener)
        serve(self.listener, self.connection)

    def connection(self, stream):
        other = socket.create_connection(self.target, 2)
        other.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = threading.Thread(target=self.copy, args=(other, stream), daemon=True)
        back.start()
        self.copy(stream, other)
        back.join()
        other.close()

    def copy(self, source, target):
        waiting = queue.Queue()

        def write():
            while True:
                due, data = waiting.get()
                time.sleep(max(0.0, due - time.monotonic()))
                try:
                    if not data:
                        target.shutdown(socket.SHUT_WR)
                        return
                    target.sendall(data)
                except OSError:
                    return

        writer = threading.Thread(target=write, daemon=True)
        writer.start()
        while True:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            waiting.put((time.monotonic() + self.delay_s, data))
            if not data:
                break
        writer.join()


class Discovery:
    """The agent on the node's machine: it answers at once with what it has been sent, and tells changes to watches."""

    def __init__(self, record, members):
        self.record, self.revision, self.members = record, 1, list(members)
        self.silent = False
        self.changed = threading.Condition()
        self.listener = listen()
        self.address = address(self.listener)
        serve(self.listener, self.connection)

    def change(self, members, note=""):
        with self.changed:
            self.revision += 1
            self.members = list(members)
            self.record.write(f"discovery revision {self.revision}: {note or [m['id'] + ' ' + m['phase'] for m in members]}")
            self.changed.notify_all()

    def set_silent(self, silent):
        with self.changed:
            self.silent = silent
            self.record.write("discovery is silent" if silent else "discovery answers again")
            self.changed.notify_all()

    def connection(self, stream):
        reader = stream.makefile("rb")
        while True:
            _, path, _, _ = read_http(reader)
            query = words(path.partition("?")[2].replace("&", ","))
            with self.changed:
                if "after" in query:
                    until = time.monotonic() + min(int(query.get("wait_ms", 0)), 60_000) / 1000
                    while self.silent or (int(query["after"]) >= self.revision and time.monotonic() < until):
                        self.changed.wait(0.05 if self.silent else max(0.001, until - time.monotonic()))
                while self.silent:
                    self.changed.wait()
                whole = int(query.get("after", -1)) != self.revision
                told = {"revision": self.revision, "complete": whole, "members": self.members if whole else []}
            stream.sendall(http_answer("200 OK", json.dumps(told).encode()))


CLASSES = [
    {
        "name": "browse",
        "effect": "pure",
        "deadlineUs": 1_500_000,
        "goalTimeUs": 750_000,
        "gain": 2.0,
        "lateValue": 0.0,
    },
    {
        "name": "send-message",
        "effect": "side_effect",
        "deadlineUs": 1_000_000,
        "goalTimeUs": 300_000,
        "gain": 8.0,
        "lateValue": 0.0,
    },
]


def settings():
    """The settings of a small deployment: cache servers that fetch nothing, and an origin."""
    return {
        "balancers": 1,
        "me": 0,
        "family": "cache",
        "classes": [dict(c, streamed=False, dedupScope="all", dedupWindowUs=3_000_000) for c in CLASSES],
        "realms": [{"name": "acme", "fraction": 1.0, "quotaPerS": 400.0}],
        "discovery": "push",
        "zones": ["a", "b"],
        "zone": 0,
        "machineTypes": ["box", "origin"],
        "specifics": {"mode": "aside", "originKind": 1, "originFallMultiple": 0.0, "originFallUs": 3_000_000},
        "report": {"fields": ["lat_ms", "busy"], "via": "piggyback"},
        "weightSource": "silent",
        "limits": {
            "connectTimeoutUs": 120_000,
            "idleCloseUs": 60_000_000,
            "maxAttempts": 3,
            "maxOpen": 10_000,
            "maxRetryAfterUs": 600_000,
            "mayCancel": True,
            "mayDuplicate": True,
            "multiplex": 32,
            "peers": False,
            "probes": False,
            "retryAfter": True,
        },
        "guarantees": {
            "askWithinUs": 10_000_000,
            "coldShare": 0.12,
            "coldUs": 21_000_000,
            "drainGraceUs": 500_000,
            "fallMultiple": 3.0,
            "graceToAnswerUs": 20_000,
            "tipAfterUs": 2_000_000,
        },
        "periodUs": 5_000,
    }


def run_command():
    """The command `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        return re.search(r'^run\s*=\s*"(.*?)"', file.read(), re.MULTILINE).group(1)


class Node:
    """A node, started with the command of the deploy file."""

    def __init__(self, processes, name, discovery, env=None, listen_port=None, operator=True, known=None, pass_fds=(),
                 tag=""):
        if not os.path.exists(os.path.join(ROOT, "target", "release", "mothpier")):
            raise CannotRun("target/release/mothpier is not there: build it first")
        self.port = listen_port or free_port()
        self.operator_port = free_port()
        self.name = name + tag
        config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(),
        }
        if operator:
            config["operator"] = f"{HOST}:{self.operator_port}"
        if known:
            config["known"] = known
        path = os.path.join(processes.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        self.process = processes.start(
            self.name,
            ["/bin/sh", "-c", run_command()],
            env={"ROUTER_CONFIG": path, "ROUTER_NAME": name, **(env or {})},
            pass_fds=pass_fds,
        )

    def until_ready(self, seconds=10):
        """Waits until `PING` is answered `+PONG`."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} has ended with {self.process.returncode}")
            try:
                with Client(self.port, 1) as client:
                    if client.ask("PING") == "+PONG":
                        return self
            except (OSError, EOFError):
                pass
            time.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def call(self, method, path, body=""):
        """A call at the operators' door. Returns whether the answer is a yes, and its text."""
        with socket.create_connection((HOST, self.operator_port), 2) as stream:
            stream.sendall(
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(body)}\r\n"
                f"Connection: close\r\n\r\n{body}".encode()
            )
            answer = b""
            while part := stream.recv(65536):
                answer += part
        head, _, text = answer.partition(b"\r\n\r\n")
        status = int(head.split()[1])
        return 200 <= status < 300, text.decode().strip()

    def until_serving(self, seconds=6):
        """Waits until the door says yes to `/api/ready`."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} has ended with {self.process.returncode}")
            try:
                if self.call("GET", "/api/ready")[0]:
                    return self
            except (OSError, IndexError, ValueError):
                pass
            time.sleep(0.05)
        raise CannotRun(f"{self.name} does not say that it is ready")


class Client:
    """A connection of a client."""

    def __init__(self, port, timeout=5):
        self.stream = socket.create_connection((HOST, port), timeout)
        self.stream.settimeout(timeout)
        self.stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = self.stream.makefile("rb")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def send(self, *arguments):
        self.stream.sendall(encode_command(*arguments))

    def ask(self, *arguments):
        self.send(*arguments)
        return read_reply(self.reader)

    def close(self):
        self.reader.close()
        self.stream.close()


def play(folder, case, limit=110):
    """Plays a case: `case(record, processes)` returns what broke the rule, a line each."""
    record = Record(folder)
    processes = Processes(record)
    Limit(limit, processes).start()
    result = CANNOT_RUN
    try:
        breaks = case(record, processes)
        for line in breaks[:20]:
            record.write(f"BROKEN {line}", show=True)
        result = BROKEN if breaks else HELD
        record.write("the rule was broken" if breaks else "the rule held", show=True)
    except Exception as error:
        what = error if isinstance(error, CannotRun) else traceback.format_exc()
        record.write(f"the case could not run: {what}", show=True)
        for process in os.listdir(processes.folder):
            if process.endswith(".log"):
                record.write(f"{process}:\n{processes.log(process[:-4])}")
    finally:
        processes.end()
        record.close()
    os._exit(result)
