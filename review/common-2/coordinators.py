"""Coordinators of a small group, the links between them, and calls to them."""

import http.client
import json
import os
import socket
import subprocess
import threading
import time

from standins import HOST, ROOT, CannotRun, address, free_port, listen, serve

CLUSTER = "manila"


class Link:
    """The way to one member. Its connections can be reset."""

    def __init__(self, record, name):
        self.record, self.name, self.target = record, name, None
        self.lock, self.streams = threading.Lock(), set()
        # Once a connection has carried so many bytes to the member, all of them are reset; None for never.
        self.reset_after = None
        self.resets = 0
        self.listener = listen()
        self.address = address(self.listener)
        serve(self.listener, self.connection)

    def connection(self, stream):
        try:
            other = socket.create_connection((HOST, self.target), 1)
        except OSError:
            reset(stream)
            return
        with self.lock:
            self.streams |= {stream, other}
        back = threading.Thread(target=self.copy, args=(other, stream, False), daemon=True)
        back.start()
        self.copy(stream, other, True)
        back.join()
        with self.lock:
            self.streams -= {stream, other}
        other.close()

    def copy(self, source, target, counted):
        carried = 0
        try:
            while data := source.recv(65536):
                carried += len(data)
                if counted and self.reset_after is not None and carried > self.reset_after:
                    self.reset_after = None
                    self.reset_all()
                    return
                target.sendall(data)
        except OSError:
            pass
        for stream in (source, target):
            try:
                stream.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def reset_all(self):
        with self.lock:
            streams = list(self.streams)
            self.resets += 1
        self.record.write(f"the connections to {self.name} are reset once", show=True)
        for stream in streams:
            reset(stream)


def reset(stream):
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        stream.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    stream.close()


class Group:
    """A group of coordinators that reach each other over links."""

    def __init__(self, record, processes, members=3):
        self.record, self.processes = record, processes
        self.program = os.path.join(ROOT, "target", "release", "mothpier-coordinator")
        self.tool = os.path.join(ROOT, "target", "release", "mothpierctl")
        for program in (self.program, self.tool):
            if not os.path.exists(program):
                raise CannotRun(f"{program} is not there: run review/build-2.sh first")
        self.links = {number: Link(record, f"member {number}") for number in range(1, members + 1)}
        self.ports = {number: free_port() for number in self.links}
        self.running = {}
        for number, link in self.links.items():
            link.target = self.ports[number]
            with open(self.file(number), "w", encoding="utf-8") as file:
                file.write(self.text(number))
            subprocess.run([self.program, "init", self.file(number)], check=True)

    def file(self, number):
        return os.path.join(self.processes.folder, f"member-{number}.hcl")

    def text(self, number):
        lines = [
            f'cluster = "{CLUSTER}"',
            f"member = {number}",
            f'listen = "{HOST}:{self.ports[number]}"',
            f'folder = "{self.processes.folder}/store-{number}"',
        ]
        for other, link in self.links.items():
            at = f"{HOST}:{self.ports[number]}" if other == number else link.address
            lines.append(f'peer "{other}" {{ address = "{at}" }}')
        return "\n".join(lines) + "\n"

    def start(self, number):
        self.running[number] = self.processes.start(f"member-{number}", [self.program, "run", self.file(number)])

    def kill(self, number):
        self.record.write(f"member {number} is killed", show=True)
        process = self.running.pop(number)
        process.kill()
        process.wait()

    def addresses(self):
        return ",".join(f"{HOST}:{port}" for port in self.ports.values())

    def status(self, number):
        try:
            return get(self.ports[number], "/v1/status")
        except (OSError, http.client.HTTPException, ValueError):
            return None

    def until_led(self, seconds=20):
        """Returns the number of the leader, once a majority of the running members agree on it."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            told = [status.get("leader") for number in self.running if (status := self.status(number))]
            for leader in set(told) - {None}:
                if told.count(leader) * 2 > len(self.links) and leader in self.running:
                    return leader
            time.sleep(0.1)
        raise CannotRun("nobody leads")

    def lease(self, name, patience):
        """Runs a command under a lease, as staff would. Returns whether it ran, and what the tool said."""
        command = [self.tool, "lease", "run", name, "--ttl", "5s", "--cluster", CLUSTER, "--coordinators",
                   self.addresses(), "--", "true"]
        self.record.write("$ " + " ".join(["mothpierctl", *command[1:]]))
        began = time.monotonic()
        try:
            ran = subprocess.run(command, capture_output=True, text=True, timeout=patience, stdin=subprocess.DEVNULL)
            said, code = (ran.stderr + ran.stdout).strip(), ran.returncode
        except subprocess.TimeoutExpired:
            said, code = f"no end within {patience} s", None
        self.record.write(f"exit code {code} after {time.monotonic() - began:.1f} s: {said}", show=True)
        return code == 0, said


def get(port, path, timeout=3):
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        connection.request("GET", path)
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


class Session:
    """A client's session at a member, on a connection that is kept."""

    def __init__(self, port, name, ttl_ms=60_000):
        self.connection = http.client.HTTPConnection(HOST, port, timeout=10)
        self.name, self.number = name, 0
        self.call({"do": "open", "session": name, "ttl_ms": ttl_ms})

    def call(self, command):
        body = json.dumps({"cluster": CLUSTER, "command": command})
        self.connection.request("POST", "/v1/command", body)
        return json.loads(self.connection.getresponse().read())

    def renew(self):
        return self.call({"do": "renew", "session": self.name})

    def put(self, key, value):
        self.number += 1
        request = {"ask": "put", "key": key, "value": value, "at": None}
        return self.call({"do": "ask", "session": self.name, "number": self.number, "request": request})
