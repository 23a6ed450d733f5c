"""A cache server is taken out by hand while the list is out of reach, and the list comes back."""

import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from standins import *  # noqa: E402, F403

# The list is out of reach for so long, from before the node's start on.
LIST_AWAY = 14
# "The rule on drains holds from the node's yes, or 1 s after the call"; the grace is 0.5 s, on sockets 50 ms more.
GRACE = 0.55
AFTER_LIST = 15


def case(record, processes):
    servers = [CacheServer(record, f"s-{number}", answer, 0.008) for number in range(1, 5)]
    members = [server.member() for server in servers]
    members.append(member("o-1", address(origin(record)), "origin"))
    discovery = Discovery(record, members)
    if troubled():
        discovery.set_silent(True)
    sources = os.path.join(processes.folder, "sources.json")
    with open(sources, "w", encoding="utf-8") as file:
        like = {"zone": "a", "kind": "box", "cell": 0}
        json.dump({"like": like, "fixed": [server.address for server in servers]}, file)
    began = time.monotonic()
    node = Node(processes, "n1", discovery, env={"MOTHPIER_SOURCES": sources}).until_ready()
    stop, counts = threading.Event(), {}
    clients = [threading.Thread(target=client, args=(record, node, n, stop, counts), daemon=True) for n in range(4)]
    for thread in clients:
        thread.start()
    time.sleep(3)
    # Staff look up which box stands at the address, and take that one out.
    out = servers[1]
    with Client(node.port) as connection:
        shown = connection.ask("INFO", "sources").decode()
    record.write(f"INFO sources:\n{shown}")
    line = next((line for line in shown.splitlines() if line.startswith("box:") and out.address in line), None)
    if line is None or not out.received:
        raise CannotRun(f"the node does not use {out.address}")
    id = line.removeprefix("box:").split(",")[0]
    done, said = node.call("POST", "/api/exclude", id)
    yes = time.monotonic()
    record.write(f"POST /api/exclude {id}: {'yes' if done else 'no'}: {said}", show=True)
    if not done:
        raise CannotRun("the node does not take the box out")
    time.sleep(max(0.0, began + LIST_AWAY - time.monotonic()))
    before = len([at for at, _ in out.received if at > yes + GRACE])
    record.write(f"{before} new requests to it until the list came back", show=True)
    discovery.set_silent(False)
    time.sleep(AFTER_LIST)
    with Client(node.port) as connection:
        record.write(f"INFO sources:\n{connection.ask('INFO', 'sources').decode()}")
    stop.set()
    for thread in clients:
        thread.join(5)
    late = [(at - yes, id) for at, id in out.received if at > yes + GRACE]
    record.write(f"answers: {counts}; {len(late)} new requests to the box that is out", show=True)
    if counts.get("served", 0) < 100:
        raise CannotRun("too few requests were served")
    return [f"id={id} went to {out.name} {after:.2f} s after the yes to the call out" for after, id in late]


def answer(command, key, id, extras, value):
    return f"made for {id}".encode()


def origin(record):
    listener = listen()

    def connection(stream):
        reader = stream.makefile("rb")
        while True:
            method, path, headers, _ = read_http(reader)
            record.write(f"origin got {method} {path} id={headers.get('x-request-id')}")
            time.sleep(0.02)
            stream.sendall(http_answer("200 OK", f"made for {headers.get('x-request-id')}".encode()))

    serve(listener, connection)
    return listener


def client(record, node, number, stop, counts):
    asked = 0
    with Client(node.port) as connection:
        while not stop.is_set():
            asked += 1
            id = f"c{number}-{asked}"
            reply = connection.ask("CACHE.GET", f"member-{asked % 500}", id, "c=browse,t=acme,d=1200")
            record.write(f"client got id={id}: {reply!r}")
            what = "served" if isinstance(reply, bytes) else reply.split()[0]
            counts[what] = counts.get(what, 0) + 1
            time.sleep(0.02)


play(FOLDER, case)
