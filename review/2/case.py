"""Some large answers of cache servers are spoilt: the length that stands before the value doesn't fit it.

The rule is broken if a client is served a part of the value as if it were the whole.
"""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from standins import *  # noqa: E402,F403

SECONDS = 15
CLIENTS = 6
PART = 0.1  # of the answers are spoilt


def value_of(key, id):
    """A value of 70 to 300 KB, made for one request alone."""
    dice = random.Random(key)
    return (f"{key}|{id}|" + "".join(dice.choices("abcdefgh", k=64)) * dice.randint(1100, 4600)).encode()


async def case(record, processes):
    dice = random.Random(20261204)
    spoilt = {}

    async def read(words):
        _, key, id, _ = words[:4]
        await asyncio.sleep(dice.uniform(0.01, 0.03))
        value = value_of(key.decode(), id.decode())
        answer = cache_answer(value)
        if trouble() and dice.random() < PART:
            told = len(value) - dice.randint(1, 4000)
            spoilt[id.decode()] = told
            record.line(f"box answers {id.decode()} with {len(value)} bytes under the length {told}")
            answer = spoil_length(answer, len(value), told)
        else:
            record.line(f"box answers {id.decode()} with {len(value)} bytes")
        return answer

    boxes = [await CacheServer(f"s-{n}", read).start() for n in range(4)]
    discovery = await Discovery([member(f"s-{n}", box.address) for n, box in enumerate(boxes)]).start()
    listen = f"127.0.0.1:{free_port()}"
    node = processes.start_node("n0", night_post(discovery.address, listen))
    await until_ready(node, listen)
    end = time.monotonic() + SECONDS
    counts = {"served": 0, "wrong": 0, "cut": 0, "error": 0}

    async def ask(number):
        own = random.Random(number)
        client, count = await Client.connect(listen), 0
        while time.monotonic() < end:
            await asyncio.sleep(own.expovariate(10))
            count += 1
            key, id = f"k{number}x{count}", f"{number:04x}{count:012x}"
            record.line(f"client asks CACHE.GET {key} {id} c=letter")
            answer = await client.ask("CACHE.GET", key, id, "c=letter,d=1000")
            if answer is None:
                counts["cut"] += 1
                record.line(f"client: the answer to {id} broke off with the connection")
                client = await Client.connect(listen)
            elif isinstance(answer, str):
                counts["error"] += 1
                record.line(f"client: {id} is answered {answer}")
            elif answer == value_of(key, id):
                counts["served"] += 1
                record.line(f"client: {id} is served whole, {len(answer)} bytes")
            else:
                counts["wrong"] += 1
                record.line(f"client: {id} is served WRONG, {len(answer)} of {len(value_of(key, id))} bytes")
        client.close()

    await asyncio.gather(*(ask(number) for number in range(CLIENTS)))
    if node.poll() is not None:
        record.verdict(f"the node ended with {node.returncode}")
        return False
    record.verdict(f"{len(spoilt)} answers were spoilt; clients: {counts}")
    if counts["served"] < 100 or (trouble() and len(spoilt) < 10):
        raise CannotRun("too little was served")
    return counts["wrong"] == 0


run_case(FOLDER, case)
