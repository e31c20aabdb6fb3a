import assert from "node:assert/strict";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { Client, type Request, type Result, type Settings } from "../src/index.js";
import { NodeTransport } from "../src/node.js";
import { answers, closes, cuts, floods, type Play, raw, ScriptedNode, silent } from "../src/testing.js";

/** One action of a node's script in wire.json. */
interface ScriptStep {
  answer?: number; body?: string; fields?: string[]; raw?: string; cut?: number; flood?: string; again?: string;
  close?: "before" | "during" | "after" | "then"; silent?: boolean; dead?: boolean;
}

/** A scenario of wire.json. */
interface Scenario {
  about: string; settings?: Partial<Settings>; longestAnswer?: number; nodes: ScriptStep[][]; cancelAfterSent?: boolean;
  call: { repeat: "safe" | "keyed" | "unsafe"; window?: number; within: number; body?: string; target?: string };
  then: { kind: Result["kind"]; status?: number; body?: string; attempts?: number; comeBack?: number;
    mayHaveRun?: boolean; tookAtLeast?: number; tookAtMost?: number };
  seenInAll?: number; headers?: Record<string, (string | null)[]>; connectionEnds?: boolean;
}

function toPlay(step: ScriptStep): Play {
  if (step.answer !== undefined) {
    return answers(step.answer, step.body, step.fields);
  } else if (step.raw !== undefined) {
    const text = step.raw;
    return step.close === "then" ? { moment: "read", on: (socket) => void socket.end(text) } : raw(text);
  } else if (step.cut !== undefined) {
    return cuts(step.cut);
  } else if (step.flood !== undefined) {
    return floods(step.flood, step.again!);
  } else if (step.close !== undefined) {
    return closes(step.close === "before" ? "accepted" : step.close === "during" ? "head-read" : "read");
  }
  return silent();
}

/** Returns the URL of a port on which nothing listens. */
async function unusedUrl(): Promise<string> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return `http://127.0.0.1:${port}`;
}

function toRequest({ call }: Scenario): Request {
  const common = { target: call.target ?? "/", withinMs: call.within,
    ...(call.body === undefined ? {} : { body: call.body, headers: { "content-type": "application/json" } }) };
  return call.repeat === "keyed" ? { ...common, repeat: "keyed", windowMs: call.window! }
    : { ...common, repeat: call.repeat };
}

const scenarios = JSON.parse(readFileSync(
  new URL("../../../conformance/wire.json", import.meta.url), "utf8")) as Scenario[];

for (const scenario of scenarios) {
  test(`wire.json: ${scenario.about}`, { timeout: 60_000 }, async () => {
    const nodes: ScriptedNode[] = [];
    const urls: string[] = [];
    let reportStarted: (() => void) | undefined;
    let reportClosed: (() => void) | undefined;
    const started = new Promise<void>((done) => { reportStarted = done; });
    const closed = new Promise<void>((done) => { reportClosed = done; });
    for (const steps of scenario.nodes) {
      if (steps[0]?.dead === true) {
        urls.push(await unusedUrl());
        continue;
      }
      const node = await ScriptedNode.listen(...steps.map((step) => {
        const play = toPlay(step);
        return { moment: play.moment, on: (socket) => {
          socket.on("close", () => reportClosed?.());
          play.on(socket);
          reportStarted?.();
        } } satisfies Play;
      }));
      nodes.push(node);
      urls.push(node.url);
    }
    const transport = new NodeTransport();
    const client = new Client({ nodes: urls, settings: scenario.settings ?? {}, transport: transport.transport,
      ...(scenario.longestAnswer === undefined ? {} : { longestAnswer: scenario.longestAnswer }) });
    try {
      const startedMs = performance.now();
      const abort = new AbortController();
      const call = client.send(toRequest(scenario), abort.signal);
      if (scenario.cancelAfterSent === true) {
        await started;
        abort.abort();
      }
      const result = await call;
      const tookMs = performance.now() - startedMs;
      const then = scenario.then;
      assert.equal(result.kind, then.kind, JSON.stringify(result));
      if (result.kind === "served") {
        assert.equal(result.status, then.status);
        assert.equal(result.text(), then.body ?? "");
        assert.equal(result.attempts, then.attempts ?? result.attempts);
      } else if (result.kind === "refused") {
        assert.equal(result.comeBackMs, then.comeBack);
      } else if (result.kind === "late" || result.kind === "cancelled") {
        assert.equal(result.mayHaveRun, then.mayHaveRun);
      }
      assert.ok(tookMs >= (then.tookAtLeast ?? 0) && tookMs <= (then.tookAtMost ?? Infinity), String(tookMs));
      if (scenario.connectionEnds === true) {
        await closed;
      }
      const seen = nodes.flatMap((node) => node.seen);
      assert.equal(seen.length, scenario.seenInAll ?? seen.length);
      seen.forEach((received, i) => {
        assert.equal(received.target, scenario.call.target ?? "/");
        assert.match(received.headers["x-txn"]!, /^[0-9a-f]{16}$/);
        const remaining = Number(received.headers["x-remaining-ms"]);
        assert.ok(remaining > 0 && remaining <= scenario.call.within);
        for (const [name, values] of Object.entries(scenario.headers ?? {})) {
          assert.equal(received.headers[name] ?? null, values[Math.min(i, values.length - 1)]);
        }
      });
      const distinctValues = (name: string): number => new Set(seen.map((received) => received.headers[name])).size;
      if (seen.length > 0) {
        assert.equal(distinctValues("x-request-id"), 1, "one id for the call");
        assert.equal(distinctValues("x-txn"), seen.length, "one id per attempt");
        assert.equal(distinctValues("idempotency-key"), 1, "one key, or none");
      }
    } finally {
      client.close();
      await transport.close();
      await Promise.all(nodes.map((node) => node.close()));
    }
  });
}
