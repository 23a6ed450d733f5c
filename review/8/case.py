"""A request that must not run twice may have run; its client comes again with it after upgrades."""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from standins import *  # noqa: E402, F403

ROUNDS = 3


def case(record, processes):
    runs = {}
    listener = listen()

    def connection(stream):
        reader = stream.makefile("rb")
        while True:
            method, path, headers, _ = read_http(reader)
            id = headers.get("x-request-id")
            runs.setdefault(id, []).append(time.monotonic())
            record.write(f"origin runs {method} {path} id={id}, the {len(runs[id])}. time")
            time.sleep(0.3)
            stream.sendall(http_answer("200 OK", f"receipt of {id}".encode()))

    serve(listener, connection)
    servers = [CacheServer(record, f"s-{number}") for number in range(3)]
    members = [server.member() for server in servers] + [member("o-1", address(listener), "origin")]
    discovery = Discovery(record, members)
    accepting = listen()
    shared = os.path.join(processes.folder, "tmp")
    os.mkdir(shared)
    port = accepting.getsockname()[1]
    env = {"ROUTER_ACCEPT_FD": str(accepting.fileno()), "TMPDIR": shared}
    started = 0

    def start():
        nonlocal started
        started += 1
        node = Node(processes, "n1", discovery, env, port, pass_fds=(accepting.fileno(),), tag=f"-{started}")
        return node.until_serving()

    def upgrade(old):
        new = start()
        record.write(f"{new.name} is ready; SIGTERM to {old.name}", show=True)
        old.process.send_signal(signal.SIGTERM)
        old.process.wait(10)
        record.write(f"{old.name} has ended with {old.process.returncode}", show=True)
        # The new process is alone for a moment, as it is until the next version comes.
        time.sleep(3)
        return new

    node = start()
    time.sleep(1)
    breaks = []
    for number in range(ROUNDS):
        id = f"message-{number}"
        ask = ("CACHE.SET", f"member-{number}", id, "c=send-message,t=acme,d=900", "hello")
        began = time.monotonic()
        with Client(port) as client:
            client.send(*ask)
            time.sleep(0.15)
        record.write(f"client sent id={id} and left before its answer", show=True)
        time.sleep(0.5)
        if len(runs.get(id, [])) != 1:
            raise CannotRun("the request did not run")
        node = upgrade(node)
        if troubled():
            node = upgrade(node)
        with Client(port) as client:
            reply = client.ask(*ask)
        after = time.monotonic() - began
        record.write(f"client sent id={id} again after {after:.1f} s and got {reply!r}", show=True)
        if after >= 55:
            raise CannotRun("it took too long")
        if len(runs[id]) > 1:
            breaks.append(f"id={id} ran {len(runs[id])} times, the last one {after:.1f} s after the first")
    return breaks


play(FOLDER, case)
