"""Cache servers tell some long values under a length that is too long; no client may take more for its value."""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from standins import *  # noqa: E402, F403

# Such a part of the long answers is told under a length that is too long by so many bytes.
SPOILT = 0.1
TOO_LONG = (1, 16)
VALUE_BYTES = (70_000, 300_000)
CLIENTS = 4
SECONDS = 30


class Spoiling(CacheServer):
    """Holds a long value for each key, made for the request; tells a wrong length now and then."""

    lock = threading.Lock()
    random = random.Random(20261205)
    spoilt = {}

    def connection(self, stream):
        reader = stream.makefile("rb")
        while True:
            arguments = read_command(reader)
            if arguments[0] != b"CACHE.GET":
                stream.sendall(b"-ERR unknown command\r\n")
                continue
            id = arguments[2].decode()
            time.sleep(0.012)
            with Spoiling.lock:
                spoil = troubled() and self.random.random() < SPOILT
                excess = self.random.randint(*TOO_LONG) if spoil else 0
                if spoil:
                    Spoiling.spoilt[id] = excess
            value, load = made_for(id), b"lat_ms=12,busy=0.20"
            head = b"*3\r\n$%d\r\n" % (len(value) + excess)
            stream.sendall(head + value + b"\r\n$3\r\nhit\r\n$%d\r\n%s\r\n" % (len(load), load))
            self.record.write(f"{self.name} answered id={id}, {len(value)} bytes, told {len(value) + excess}")
            if spoil:
                # The connection stays open and is of no further use.
                while stream.recv(65536):
                    pass
                return


def made_for(id):
    length = random.Random(id).randint(*VALUE_BYTES)
    return (f"made for {id}. ".encode() * (length // 8))[:length]


def case(record, processes):
    servers = [Spoiling(record, f"s-{number}") for number in range(6)]
    node = Node(processes, "n1", Discovery(record, [server.member() for server in servers])).until_ready()
    breaks, counts, lock = [], {}, threading.Lock()
    until = time.monotonic() + SECONDS

    def client(number):
        chance = random.Random(number)
        asked, connection = 0, None
        while time.monotonic() < until:
            asked += 1
            id = f"c{number}-{asked}"
            connection = connection or Client(node.port)
            try:
                reply = connection.ask("CACHE.GET", f"member-{chance.randrange(500)}", id, "c=browse,t=acme,d=1400")
            except (OSError, EOFError):
                # The client can tell that its value is not whole, if it has begun.
                reply = "cut off"
                connection.close()
                connection = None
            served = isinstance(reply, bytes)
            what = "served" if served else reply.split()[0]
            with lock:
                if served and reply != made_for(id):
                    what = "wrong"
                    more = len(reply) - len(made_for(id))
                    breaks.append(f"id={id} was served with {more} bytes too many, ending in {reply[-16:]!r}")
                counts[what] = counts.get(what, 0) + 1
            record.write(f"client got id={id}: {what}, {len(reply)} bytes" if served else f"client got id={id}: {reply}")
            time.sleep(0.02 if served else 0.1)

    threads = [threading.Thread(target=client, args=(number,), daemon=True) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(SECONDS + 10)
    by_length = {n: list(Spoiling.spoilt.values()).count(n) for n in sorted(set(Spoiling.spoilt.values()))}
    record.write(f"answers to clients: {counts}; told too long: {len(Spoiling.spoilt)}, by bytes {by_length}", show=True)
    if counts.get("served", 0) < 50:
        raise CannotRun("too few requests were served")
    if troubled() and not Spoiling.spoilt:
        raise CannotRun("no answer was spoilt")
    return breaks


play(FOLDER, case)
