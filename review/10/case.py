"""Cache servers answer some commands a second time, some milliseconds late: no client may get the second copy."""

import os
import random
import select
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from standins import *  # noqa: E402, F403

# One way between the node and the cache servers, as between two zones.
LINK_DELAY = 0.0056
# The mean of the work of `browse`, which is spread as the site file says (`dist = "exp"`).
MEAN_WORK = 0.060
# The second copy of an answer comes so much later than the first one.
COPY_DELAY = 0.004
# Every so many-th answer has a second copy.
COPY_EACH = 20
CLIENTS = 16
SECONDS = 40


class Repeating(CacheServer):
    """Holds a value for each key, and answers some commands a second time while nothing else waits."""

    lock = threading.Lock()
    random = random.Random(1)
    answers = copies = 0

    def connection(self, stream):
        reader = stream.makefile("rb", buffering=0)
        while True:
            arguments = read_command(reader)
            if arguments[0] != b"CACHE.GET":
                stream.sendall(b"-ERR unknown command\r\n")
                continue
            id = arguments[2].decode()
            self.record.write(f"{self.name} got CACHE.GET id={id}")
            with Repeating.lock:
                work = min(self.random.expovariate(1 / MEAN_WORK), 0.6)
            time.sleep(work)
            value, load = made_for(id), b"lat_ms=60,busy=0.20"
            answer = b"*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$%d\r\n%s\r\n" % (len(value), value, len(load), load)
            stream.sendall(answer)
            self.record.write(f"{self.name} answered id={id}")
            with Repeating.lock:
                Repeating.answers += 1
                again = troubled() and Repeating.answers % COPY_EACH == 0
            # The second copy is sent only where nothing else waits on the connection.
            if again and not select.select([stream], [], [], COPY_DELAY)[0]:
                stream.sendall(answer)
                with Repeating.lock:
                    Repeating.copies += 1
                self.record.write(f"{self.name} answered id={id} a second time")


def made_for(id):
    return f"made for {id}".encode()


def case(record, processes):
    servers = [Repeating(record, f"s-{number}") for number in range(3)]
    links = [SlowLink(server.address, LINK_DELAY) for server in servers]
    members = [member(server.name, link.address, "box", zone="b") for server, link in zip(servers, links)]
    node = Node(processes, "n1", Discovery(record, members)).until_ready()
    breaks, counts, lock = [], {}, threading.Lock()
    until = time.monotonic() + SECONDS

    def client(number):
        chance = random.Random(number)
        asked = 0
        with Client(node.port) as connection:
            while time.monotonic() < until:
                asked += 1
                id = f"c{number}-{asked}"
                key = f"member-{chance.randrange(1000)}"
                record.write(f"client asks CACHE.GET key={key} id={id}")
                reply = connection.ask("CACHE.GET", key, id, "c=browse,t=acme,d=1200")
                served = isinstance(reply, bytes)
                record.write(f"client got id={id}: {reply!r}")
                what = "served" if served else reply.split()[0]
                with lock:
                    if served and reply != made_for(id):
                        what = "foreign"
                        breaks.append(f"id={id} was served with {reply!r}")
                    counts[what] = counts.get(what, 0) + 1
                time.sleep(chance.uniform(0.0, 0.05) if served else 0.1)

    threads = [threading.Thread(target=client, args=(number,), daemon=True) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(SECONDS + 10)
    record.write(f"answers to clients: {counts}; second copies: {Repeating.copies} of {Repeating.answers}", show=True)
    if counts.get("served", 0) < 50:
        raise CannotRun("too few requests were served")
    if troubled() and not Repeating.copies:
        raise CannotRun("no second copy was sent")
    return breaks


play(FOLDER, case)
