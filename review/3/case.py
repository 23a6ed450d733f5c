"""Clients send many reads at once, of values of almost 64 KiB.

The rule is broken if the node goes over its memory limit, at which the platform kills it, or ends by itself.
Without the disruption the same clients send the same reads one after another.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from standins import *  # noqa: E402,F403

MEMORY_MB = 48
BOXES = 16
CLIENTS = 12
AT_ONCE = 64
ROUNDS = 6
WORK = 0.02
VALUE = b"v" * 64_000


async def case(record, processes):
    async def read(words):
        await asyncio.sleep(WORK)
        record.line(f"a cache server ran {words[2].decode()}")
        return cache_answer(words[1] + b"|" + words[2] + b"|" + VALUE, "hit", "lat_ms=20,busy=0.3")

    boxes = [await CacheServer(f"s-{n}", read).start() for n in range(BOXES)]
    discovery = await Discovery(
        [member(b.name, b.address, kind="full-box", zone="makati-dc") for b in boxes]
    ).start()
    listen = f"127.0.0.1:{free_port()}"
    node = processes.start_node("n0", manila(discovery.address, listen, memory_mb=MEMORY_MB))
    await until_ready(node, listen)
    peak, killed = {"RssAnon": 0.0, "VmRSS": 0.0}, False

    async def platform():
        """Kills the node over its limit. Pages of files are left out, to be on the node's side."""
        nonlocal killed
        while node.poll() is None:
            with open(f"/proc/{node.pid}/status", encoding="ascii") as file:
                status = dict(line.split(":", 1) for line in file)
            for name in peak:
                peak[name] = max(peak[name], int(status[name].split()[0]) / 1024)
            if peak["RssAnon"] > MEMORY_MB:
                killed = True
                record.line(f"platform: the node has {peak['RssAnon']:.1f} MB of its own; killed")
                node.kill()
                return
            await asyncio.sleep(0.005)

    watching = asyncio.create_task(platform())
    counts = {"served": 0, "wrong": 0, "refused": 0, "failed": 0, "lost": 0}

    def count(id, answer):
        record.line(f"client got for {id}: {len(answer)} bytes" if isinstance(answer, bytes)
                    else f"client got for {id}: {answer or 'the end of the connection'}")
        if answer is None:
            counts["lost"] += 1
        elif isinstance(answer, bytes):
            counts["served" if answer.startswith(f"k{id}|{id}|".encode()) else "wrong"] += 1
        else:
            counts["refused" if answer.startswith("-BUSY") else "failed"] += 1

    async def ask(number, round_, requests, at_once, pause):
        try:
            client = await Client.connect(listen)
        except OSError:
            counts["lost"] += requests
            return
        ids = [f"{round_:04x}{number:04x}{n:08x}" for n in range(requests)]
        words = [("CACHE.GET", f"k{id}", id, "c=browse,t=silverlight,d=1400") for id in ids]
        if at_once:
            for each in words:
                client.send(*each)
        for id, each in zip(ids, words):
            if not at_once:
                client.send(*each)
            answer = await client.answer()
            count(id, answer)
            if answer is None and not at_once:
                break
            await asyncio.sleep(pause)
        client.close()

    # Some seconds of calm traffic first: a node that has just started lets little in.
    await asyncio.gather(*(ask(number, 0, 120, False, 0.05) for number in range(8)))
    record.line(f"after the calm traffic: {counts}, peak {peak}")
    for round_ in range(1, ROUNDS + 1):
        if killed or node.poll() is not None:
            break
        record.line(f"{CLIENTS} clients send {AT_ONCE} reads each, {'at once' if trouble() else 'one by one'}")
        await asyncio.gather(*(ask(number, round_, AT_ONCE, trouble(), 0) for number in range(CLIENTS)))
        record.line(f"round {round_}: {counts}, peak {peak}")
        await asyncio.sleep(1)
    watching.cancel()
    record.verdict(
        f"peak: {peak['RssAnon']:.1f} MB of its own, {peak['VmRSS']:.1f} with files, limit {MEMORY_MB}; "
        f"clients: {counts}"
    )
    if killed:
        return False
    if node.poll() is not None:
        record.verdict(f"the node ended with {node.returncode}")
        return False
    if counts["served"] < 1000:
        raise CannotRun("too little was served")
    return True


run_case(FOLDER, case)
