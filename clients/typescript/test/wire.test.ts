import assert from "node:assert/strict";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { Client, type Request, type Result, type Settings } from "../src/index.js";
import { NodeTransport } from "../src/node.js";
import { answers, closes, cuts, floods, type Play, raw, ScriptedNode, silent } from "../src/testing.js";

interface Word {
  answer?: number; body?: string; fields?: string[]; raw?: string; cut?: number; flood?: string; again?: string;
  close?: "before" | "during" | "after" | "then"; silent?: boolean; dead?: boolean;
}

interface Scenario {
  about: string; settings?: Partial<Settings>; longestAnswer?: number; nodes: Word[][]; cancelAfterSent?: boolean;
  call: { repeat: "safe" | "keyed" | "unsafe"; window?: number; within: number; body?: string; target?: string };
  then: { kind: Result["kind"]; status?: number; body?: string; attempts?: number; comeBack?: number;
    mayHaveRun?: boolean; tookAtLeast?: number; tookAtMost?: number };
  seenInAll?: number; headers?: Record<string, (string | null)[]>; connectionEnds?: boolean;
}

function play(word: Word): Play {
  if (word.answer !== undefined) {
    return answers(word.answer, word.body, word.fields);
  } else if (word.raw !== undefined) {
    const text = word.raw;
    return word.close === "then" ? { moment: "read", on: (socket) => void socket.end(text) } : raw(text);
  } else if (word.cut !== undefined) {
    return cuts(word.cut);
  } else if (word.flood !== undefined) {
    return floods(word.flood, word.again!);
  } else if (word.close !== undefined) {
    return closes(word.close === "before" ? "accepted" : word.close === "during" ? "head-read" : "read");
  }
  return silent();
}

async function dead(): Promise<string> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return `http://127.0.0.1:${port}`;
}

function request({ call }: Scenario): Request {
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
    let begun: (() => void) | undefined;
    let gone: (() => void) | undefined;
    const hasBegun = new Promise<void>((done) => { begun = done; });
    const hasGone = new Promise<void>((done) => { gone = done; });
    for (const words of scenario.nodes) {
      if (words[0]?.dead === true) {
        urls.push(await dead());
        continue;
      }
      const node = await ScriptedNode.listen(...words.map((word) => {
        const one = play(word);
        return { moment: one.moment, on: (socket) => {
          socket.on("close", () => gone?.());
          one.on(socket);
          begun?.();
        } } satisfies Play;
      }));
      nodes.push(node);
      urls.push(node.url);
    }
    const bytes = new NodeTransport();
    const client = new Client({ nodes: urls, settings: scenario.settings ?? {}, transport: bytes.transport,
      ...(scenario.longestAnswer === undefined ? {} : { longestAnswer: scenario.longestAnswer }) });
    try {
      const began = performance.now();
      const giveUp = new AbortController();
      const call = client.send(request(scenario), giveUp.signal);
      if (scenario.cancelAfterSent === true) {
        await hasBegun;
        giveUp.abort();
      }
      const result = await call;
      const took = performance.now() - began;
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
      assert.ok(took >= (then.tookAtLeast ?? 0) && took <= (then.tookAtMost ?? Infinity), String(took));
      if (scenario.connectionEnds === true) {
        await hasGone;
      }
      const seen = nodes.flatMap((node) => node.seen);
      assert.equal(seen.length, scenario.seenInAll ?? seen.length);
      seen.forEach((one, i) => {
        assert.equal(one.target, scenario.call.target ?? "/");
        assert.match(one.headers["x-txn"]!, /^[0-9a-f]{16}$/);
        const remaining = Number(one.headers["x-remaining-ms"]);
        assert.ok(remaining > 0 && remaining <= scenario.call.within);
        for (const [name, values] of Object.entries(scenario.headers ?? {})) {
          assert.equal(one.headers[name] ?? null, values[Math.min(i, values.length - 1)]);
        }
      });
      const several = (name: string): number => new Set(seen.map((one) => one.headers[name])).size;
      if (seen.length > 0) {
        assert.equal(several("x-request-id"), 1, "one id for the call");
        assert.equal(several("x-txn"), seen.length, "a number for each sending");
        assert.equal(several("idempotency-key"), 1, "one key, or none");
      }
    } finally {
      client.close();
      await bytes.close();
      await Promise.all(nodes.map((node) => node.close()));
    }
  });
}
