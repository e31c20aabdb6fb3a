import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Agent } from "undici";
import { Client } from "../src/index.js";
import { NodeTransport } from "../src/node.js";

// Compares the client with bare undici, alternating in one run: calls per second and the 99th percentile.
const CALLS = 10_000;
const CONCURRENT_CALLS = 16;
const ROUNDS = 7;

const server = createServer((_, response) => response.end("hello")).listen(0, "127.0.0.1");
await once(server, "listening");
const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
const agent = new Agent({ pipelining: 1 });
const transport = new NodeTransport();
const client = new Client({ nodes: [url], transport: transport.transport, settings: { limit: 64 } });

/** Returns calls per second and the 99th percentile of their times in milliseconds. */
async function measure(call: () => Promise<unknown>): Promise<[number, number]> {
  const timesMs: number[] = [];
  const startedMs = performance.now();
  await Promise.all(Array.from({ length: CONCURRENT_CALLS }, async () => {
    for (let i = 0; i < CALLS / CONCURRENT_CALLS; i++) {
      const sentMs = performance.now();
      await call();
      timesMs.push(performance.now() - sentMs);
    }
  }));
  const callsPerSecond = (CALLS * 1_000) / (performance.now() - startedMs);
  timesMs.sort((a, b) => a - b);
  return [callsPerSecond, timesMs[Math.floor(timesMs.length * 0.99)]!];
}

const throughputRatios: number[] = [];
const p99Ratios: number[] = [];
for (let round = -1; round < ROUNDS; round++) {
  const [bareThroughput, bareP99Ms] = await measure(async () => {
    const answer = await agent.request({ origin: url, path: "/x", method: "GET" });
    await answer.body.bytes();
  });
  const [clientThroughput, clientP99Ms] = await measure(async () => client.send({ repeat: "safe", target: "/x" }));
  if (round >= 0) {
    throughputRatios.push(clientThroughput / bareThroughput);
    p99Ratios.push(clientP99Ms / bareP99Ms);
    console.log(`bare ${bareThroughput.toFixed(0)}/s, p99 ${bareP99Ms.toFixed(2)} ms; `
      + `client ${clientThroughput.toFixed(0)}/s, p99 ${clientP99Ms.toFixed(2)} ms`);
  }
}
const median = (all: number[]): string => all.sort((a, b) => a - b)[Math.floor(all.length / 2)]!.toFixed(2);
console.log(`median ratios: throughput ${median(throughputRatios)}, p99 ${median(p99Ratios)}`);
client.close();
await transport.close();
await agent.destroy();
server.close();
