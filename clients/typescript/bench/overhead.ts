import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Agent } from "undici";
import { Client } from "../src/index.js";
import { NodeTransport } from "../src/node.js";

// The client beside bare undici, in turn in one run: calls a second and the 99th percentile.
const CALLS = 10_000;
const AT_ONCE = 16;
const ROUNDS = 7;

const server = createServer((_, response) => response.end("hello")).listen(0, "127.0.0.1");
await once(server, "listening");
const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
const agent = new Agent({ pipelining: 1 });
const bytes = new NodeTransport();
const client = new Client({ nodes: [url], transport: bytes.transport, settings: { limit: 64 } });

async function play(call: () => Promise<unknown>): Promise<[number, number]> {
  const took: number[] = [];
  const began = performance.now();
  await Promise.all(Array.from({ length: AT_ONCE }, async () => {
    for (let i = 0; i < CALLS / AT_ONCE; i++) {
      const sent = performance.now();
      await call();
      took.push(performance.now() - sent);
    }
  }));
  const speed = (CALLS * 1_000) / (performance.now() - began);
  took.sort((a, b) => a - b);
  return [speed, took[Math.floor(took.length * 0.99)]!];
}

const speeds: number[] = [];
const tails: number[] = [];
for (let round = -1; round < ROUNDS; round++) {
  const [theirs, theirTail] = await play(async () => {
    const answer = await agent.request({ origin: url, path: "/x", method: "GET" });
    await answer.body.bytes();
  });
  const [ours, tail] = await play(async () => client.send({ repeat: "safe", target: "/x" }));
  if (round >= 0) {
    speeds.push(ours / theirs);
    tails.push(tail / theirTail);
    console.log(`bare ${theirs.toFixed(0)}/s, p99 ${theirTail.toFixed(2)} ms; client ${ours.toFixed(0)}/s, `
      + `p99 ${tail.toFixed(2)} ms`);
  }
}
const median = (all: number[]): string => all.sort((a, b) => a - b)[Math.floor(all.length / 2)]!.toFixed(2);
console.log(`median ratios: throughput ${median(speeds)}, p99 ${median(tails)}`);
client.close();
await bytes.close();
await agent.destroy();
server.close();
