"""A bad client sends the id of another client's open request while the node is upgraded."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from standins import *  # noqa: E402, F403

ROUNDS = 5
# The origin takes so long for a write; `send-message` waits 900 ms.
WORK = 0.5


def case(record, processes):
    runs, lock = {}, threading.Lock()
    listener = listen()

    def connection(stream):
        reader = stream.makefile("rb")
        while True:
            method, path, headers, body = read_http(reader)
            id = headers.get("x-request-id")
            with lock:
                runs.setdefault(id, []).append(body)
            record.write(f"origin runs {method} {path} id={id} value={body!r}, the {len(runs[id])}. time")
            time.sleep(WORK)
            stream.sendall(http_answer("200 OK", f"receipt of {id}".encode()))

    serve(listener, connection)
    servers = [CacheServer(record, f"s-{number}") for number in range(3)]
    members = [server.member() for server in servers] + [member("o-1", address(listener), "origin")]
    discovery = Discovery(record, members)
    accepting = listen()
    port = accepting.getsockname()[1]
    shared = os.path.join(processes.folder, "tmp")
    os.mkdir(shared)
    env = {"ROUTER_ACCEPT_FD": str(accepting.fileno()), "TMPDIR": shared}
    started = 0

    def start():
        nonlocal started
        started += 1
        node = Node(processes, "n1", discovery, env, port, pass_fds=(accepting.fileno(),), tag=f"-{started}")
        return node.until_serving()

    node = start()
    time.sleep(1)
    breaks = []
    for number in range(ROUNDS):
        id = f"message-{number}"
        ask = ["CACHE.SET", f"member-{number}", id, "c=send-message,t=acme,d=900"]
        with Client(port) as usual:
            if usual.ask("PING") != "+PONG":
                raise CannotRun("the node is not ready")
            new = start() if troubled() else node
            usual.send(*ask, "hello")
            record.write(f"the usual client sends id={id}")
            time.sleep(0.05)
            if troubled():
                record.write(f"{new.name} is ready; SIGTERM to {node.name}", show=True)
                node.process.send_signal(signal.SIGTERM)
            time.sleep(0.1)
            if len(runs.get(id, [])) != 1:
                raise CannotRun("the request is not at the origin")
            with Client(port) as bad:
                bad.send(*ask, "something else")
                record.write(f"the bad client sends id={id}")
                bad_reply = read_reply(bad.reader)
            usual_reply = read_reply(usual.reader)
        record.write(f"id={id}: the usual client got {usual_reply!r}, the bad one {bad_reply!r}", show=True)
        if usual_reply != f"receipt of {id}".encode():
            raise CannotRun("the usual client was not served")
        if isinstance(bad_reply, bytes):
            breaks.append(f"id={id}: the bad client was served with {bad_reply!r}")
        if len(runs[id]) > 1:
            breaks.append(f"id={id} ran {len(runs[id])} times: {runs[id]}")
        if troubled():
            node.process.wait(10)
            record.write(f"{node.name} has ended with {node.process.returncode}")
        node = new
        time.sleep(1)
    return breaks


play(FOLDER, case)
