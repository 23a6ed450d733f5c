"""One way to connect with redis-py: see ../README.md."""

import asyncio
import itertools
import sys
import time
import uuid

import redis
import redis.asyncio
from redis.cluster import RedisCluster
from redis.asyncio.cluster import RedisCluster as AsyncRedisCluster

DEPTH, WAIT_MS = 50, 900


def commands(count):
    """Requests under new ids: four reads, then a write."""
    for n in range(count):
        identity = uuid.uuid4().hex[:16]
        if n % 5 == 4:
            yield ("CACHE.SET", f"k{n % 97}", identity, f"c=send-message,t=acme,d={WAIT_MS}", "new")
        else:
            yield ("CACHE.GET", f"k{n % 97}", identity, f"c=browse,t=acme,d={WAIT_MS}")


def anew(command):
    return (*command[:2], uuid.uuid4().hex[:16], *command[3:])


def again(command, answer, lost):
    """How long to wait before it is asked again; None where it was served."""
    if isinstance(answer, (bytes, str)):
        value = answer if isinstance(answer, str) else answer.decode()
        if not value.startswith(f"{command[1]}|{command[2]}|"):
            raise SystemExit(f"{command} was answered {value}")
        return None
    text = str(answer)
    if text.startswith("BUSY"):
        return int((text.split() + ["20"])[1]) / 1000
    if lost and isinstance(answer, (redis.ConnectionError, redis.TimeoutError, OSError)):
        return 0.05
    if command[0] == "CACHE.GET" and isinstance(answer, redis.ResponseError) and "failed" in text:
        return 0.02
    raise SystemExit(f"{command} ended in {answer!r}")


def batches(count):
    todo = commands(count)
    while batch := list(itertools.islice(todo, DEPTH)):
        yield batch


def serve(client, count, lost):
    """Asks so many; pipelines where the library has them for a single node."""
    served = 0
    for batch in batches(count):
        for _ in range(200):
            try:
                if isinstance(client, RedisCluster):
                    answers = [one(client, c) for c in batch]
                else:
                    pipe = client.pipeline(transaction=False)
                    for command in batch:
                        pipe.execute_command(*command)
                    answers = pipe.execute(raise_on_error=False)
            except (redis.RedisError, OSError) as error:
                answers = [error] * len(batch)
            waits = [again(c, a, lost) for c, a in zip(batch, answers)]
            served += waits.count(None)
            batch = [anew(c) for c, w in zip(batch, waits) if w is not None]
            if not batch:
                break
            time.sleep(max(w for w in waits if w is not None))
    return served


def one(client, command):
    try:
        return client.execute_command(*command)
    except (redis.RedisError, OSError) as error:
        return error


async def serve_async(client, count, lost):
    served = 0
    for batch in batches(count):
        for _ in range(200):
            answers = await asyncio.gather(*(one_async(client, c) for c in batch))
            waits = [again(c, a, lost) for c, a in zip(batch, answers)]
            served += waits.count(None)
            batch = [anew(c) for c, w in zip(batch, waits) if w is not None]
            if not batch:
                break
            await asyncio.sleep(max(w for w in waits if w is not None))
    return served


async def one_async(client, command):
    try:
        return await client.execute_command(*command)
    except (redis.RedisError, OSError) as error:
        return error


PHASES = [("served", 1000, False), ("after box", 200, False), ("after restart", 200, True)]


def say(name, served):
    print(name, served, flush=True)
    if name != "after restart":
        sys.stdin.readline()


def run(client):
    assert client.ping()
    for name, count, lost in PHASES:
        say(name, serve(client, count, lost))
    client.close()


async def run_async(client):
    assert await client.ping()
    for name, count, lost in PHASES:
        say(name, await serve_async(client, count, lost))
    await client.aclose()


def main():
    way, host, port = sys.argv[1], sys.argv[2], int(sys.argv[3])
    at = {"host": host, "port": port}
    kind, _, protocol = way.partition("-resp")
    if protocol:
        at["protocol"] = int(protocol)
    if kind == "sync":
        run(redis.Redis(**at))
    elif kind == "cluster":
        run(RedisCluster(**at))
    elif kind == "async":
        asyncio.run(run_async(redis.asyncio.Redis(**at, max_connections=DEPTH)))
    elif kind == "async-cluster":
        asyncio.run(run_async(AsyncRedisCluster(**at)))
    else:
        raise SystemExit(f"no way {way!r}")


main()
