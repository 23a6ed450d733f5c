// One way to connect with node-redis or ioredis: see ../README.md.
import { randomBytes } from "node:crypto";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";
import Redis from "ioredis";
import { createClient, createCluster } from "redis";

const DEPTH = 50;
const WAIT_MS = 900;
const [way, host, port] = process.argv.slice(2);
const id = () => randomBytes(8).toString("hex");
const told = createInterface({ input: process.stdin })[Symbol.asyncIterator]();

function command(n) {
  return n % 5 === 4
    ? ["CACHE.SET", `k${n % 97}`, id(), `c=send-message,t=acme,d=${WAIT_MS}`, "new"]
    : ["CACHE.GET", `k${n % 97}`, id(), `c=browse,t=acme,d=${WAIT_MS}`];
}

// How long to wait before it is asked again; undefined where it was served.
function again(words, answer, lost) {
  if (typeof answer === "string" || Buffer.isBuffer(answer)) {
    if (!answer.toString().startsWith(`${words[1]}|${words[2]}|`)) throw new Error(`${words} was answered ${answer}`);
    return undefined;
  }
  const text = String(answer?.message ?? answer);
  if (text.startsWith("BUSY")) return Number(text.split(" ")[1] ?? 20);
  if (lost && !text.startsWith("ERR")) return 50;
  if (words[0] === "CACHE.GET" && text.includes("failed")) return 20;
  throw new Error(`${words} ended in ${text}`);
}

async function serve(ask, count, lost) {
  let served = 0;
  for (let from = 0; from < count; from += DEPTH) {
    let batch = Array.from({ length: DEPTH }, (_, n) => command(from + n));
    for (let round = 0; batch.length > 0 && round < 200; round++) {
      const answers = await Promise.all(batch.map((words) => ask(words).catch((error) => error)));
      const waits = batch.map((words, n) => again(words, answers[n], lost));
      served += waits.filter((w) => w === undefined).length;
      batch = batch.filter((_, n) => waits[n] !== undefined).map((words) => [words[0], words[1], id(), ...words.slice(3)]);
      if (batch.length > 0) await sleep(Math.max(...waits.filter((w) => w !== undefined)));
    }
  }
  return served;
}

async function run(ping, ask, close) {
  if ((await ping()) !== "PONG") throw new Error("no PONG");
  for (const [name, count, lost] of [["served", 1000, false], ["after box", 200, false], ["after restart", 200, true]]) {
    console.log(name, await serve(ask, count, lost));
    if (name !== "after restart") await told.next();
  }
  await close();
  process.exit(0);
}

const [library, kind, protocol] = way.split("-");
const RESP = protocol === undefined ? {} : { RESP: Number(protocol.replace("resp", "")) };
const quiet = () => {};
if (library === "redis" && kind === "plain") {
  const client = await createClient({ socket: { host, port: Number(port) }, ...RESP }).on("error", quiet).connect();
  await run(() => client.ping(), (words) => client.sendCommand(words), () => client.close());
} else if (library === "redis" && kind === "cluster") {
  const rootNodes = [{ socket: { host, port: Number(port) } }];
  const client = createCluster({ rootNodes, ...RESP }).on("error", quiet);
  await client.connect();
  const ask = (words) => client.sendCommand(words[1], words[0] === "CACHE.GET", words);
  await run(() => client.sendCommand("k1", true, ["PING"]), ask, () => client.close());
} else if (library === "ioredis" && kind === "plain") {
  const client = new Redis({ host, port: Number(port) }).on("error", quiet);
  await run(() => client.ping(), ([name, ...rest]) => client.call(name, rest), () => client.quit());
} else if (library === "ioredis" && kind === "cluster") {
  const client = new Redis.Cluster([{ host, port: Number(port) }]).on("error", quiet);
  await run(() => client.ping(), ([name, ...rest]) => client.call(name, rest), () => client.quit());
} else {
  throw new Error(`no way ${way}`);
}
