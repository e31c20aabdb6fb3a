import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { endingOfAnswer } from "../src/core/answers.js";
import { Caller } from "../src/core/caller.js";
import { type Repeat, type Settings, resolveSettings } from "../src/core/settings.js";
import type { Action, EndingKind } from "../src/core/types.js";

const SUITE = new URL("../../../conformance/", import.meta.url);
const SERVED_FROM = 1_000;

function read<T>(file: string): T[] {
  return JSON.parse(readFileSync(new URL(file, SUITE), "utf8")) as T[];
}

/** Describes an action in the format of the conformance suite. */
function describe(action: Action): string {
  switch (action.kind) {
    case "send":
      return `send ${action.call}.${action.attempt} ${action.node} ${action.remainingMs}`
        + (action.resent ? " resent" : "");
    case "abandon":
      return `abandon ${action.call}.${action.attempt}`;
    case "end": {
      const outcome = action.outcome;
      return outcome.kind === "served" ? `end ${action.call} served by ${outcome.attempt}`
        : `end ${action.call} ${outcome.kind}` + (outcome.mayHaveRun ? ", may have run" : "")
          + (outcome.comeBackMs < 0 ? "" : `, come back in ${outcome.comeBackMs}`);
    }
  }
}

interface Step {
  at: number; then?: string[]; add?: string; local?: boolean; remove?: string; begin?: number; repeat?: Repeat;
  within?: number; window?: number; ended?: string; how?: EndingKind; answered?: boolean; retryAfter?: number;
  cancel?: number; serve?: number; took?: number; leave?: boolean; wake?: boolean; early?: boolean;
}

/** A scenario of the decisions directory. */
interface Scenario { about: string; settings?: Partial<Settings>; draws?: number[]; steps: Step[] }

function perform(caller: Caller, step: Step): Action[] {
  if (step.add !== undefined) {
    return caller.addNode(step.at, step.add, step.local ?? false);
  }
  if (step.remove !== undefined) {
    return caller.removeNode(step.at, step.remove);
  }
  if (step.begin !== undefined) {
    return caller.begin(step.at, step.begin, step.repeat!, step.within!, step.window ?? 0);
  }
  if (step.ended !== undefined) {
    const [call, attempt] = step.ended.split(".").map(Number);
    const kind = step.how!;
    return caller.ended(step.at, call!, attempt!, { kind, retryAfterMs: step.retryAfter ?? -1, cause: "scripted",
      answered: step.answered ?? (kind === "served" || kind === "refused") });
  }
  if (step.cancel !== undefined) {
    return caller.cancel(step.at, step.cancel);
  }
  if (step.serve !== undefined) {
    for (let i = 0; i < step.serve; i++) {
      caller.begin(step.at, SERVED_FROM + i, "unsafe", 60_000, 0);
    }
    for (let i = 0; i < step.serve && step.leave === undefined; i++) {
      caller.ended(step.at + step.took!, SERVED_FROM + i, 0,
        { kind: "served", answered: true, retryAfterMs: -1, cause: "scripted" });
    }
    return [];
  }
  return caller.wake(step.at);
}

for (const file of readdirSync(new URL("decisions/", SUITE)).sort()) {
  for (const scenario of read<Scenario>(`decisions/${file}`)) {
    test(`${file}: ${scenario.about}`, () => {
      let next = 0;
      const draws = scenario.draws ?? [0];
      const caller = new Caller(resolveSettings(scenario.settings), () => draws[next++ % draws.length]!);
      for (const step of scenario.steps) {
        const due = step.wake === true && step.early === undefined;
        const wake = caller.nextWakeMs();
        assert.ok(due ? wake === step.at : wake >= step.at,
          `wants to be woken at ${wake}, before ${JSON.stringify(step)}`);
        const done = perform(caller, step).map(describe);
        if (step.serve === undefined) {
          assert.deepEqual(done, step.then ?? [], JSON.stringify(step));
        }
      }
    });
  }
}

/** An entry of answers.json. */
interface Row {
  status: number; ran?: string; retryAfter?: string; date?: string; unixMs?: number; plain?: boolean; then: string;
}

for (const row of read<Row>("answers.json")) {
  test(`answers.json: ${JSON.stringify(row)}`, () => {
    const got = endingOfAnswer(row.status, row.ran ?? null, row.retryAfter ?? null, row.date ?? null, row.unixMs ?? 0,
      row.plain ?? false);
    assert.equal(got.kind + (got.retryAfterMs < 0 ? "" : ` ${got.retryAfterMs}`), row.then);
    assert.ok(got.answered);
  });
}

/** A scenario of storms.json: many calls against simulated nodes. */
interface LoadScenario {
  about: string; settings: Partial<Settings>; seed: number; nodes: number; calls: number; perMs: number;
  within: number; window: number; down: [number, number][]; capacity: number; serviceMs: number; refuseMs: number;
  until: number; resentMost: number; per100msMost: number; then: string;
}

/** An attempt's ending that is due at a time. */
interface PendingEnding {
  at: number; call: number; attempt: number; node: string; how: EndingKind; sentMs: number; serves: boolean;
}

function playLoadScenario(scenario: LoadScenario): { summary: string; resent: number; maxPerBucket: number } {
  let random = scenario.seed;
  const draw = (): number => {
    random = Number((BigInt(random) * 1_664_525n + 1_013_904_223n) % 4_294_967_296n);
    return random / 4_294_967_296;
  };
  const caller = new Caller(resolveSettings(scenario.settings), draw);
  const pendingEndings = new Map<number, PendingEnding[]>();
  const inService = new Map<string, number>();
  const abandoned = new Set<string>();
  const sendsByBucket = new Map<number, number>();
  const outcomes = new Map<string, number>();
  let digest = 0x811c9dc5;
  let resent = 0;
  const add = (due: PendingEnding): void => {
    pendingEndings.set(due.at, [...(pendingEndings.get(due.at) ?? []), due]);
  };
  const send = (t: number, action: Action & { kind: "send" }): void => {
    const bucket = Math.floor(t / 100);
    sendsByBucket.set(bucket, (sendsByBucket.get(bucket) ?? 0) + 1);
    resent += action.resent ? 1 : 0;
    const due = { call: action.call, attempt: action.attempt, node: action.node, sentMs: t, serves: false };
    if (scenario.down.some(([from, to]) => t >= from && t < to)) {
      add({ ...due, at: t + 1, how: "never-ran" });
    } else if ((inService.get(action.node) ?? 0) >= scenario.capacity) {
      add({ ...due, at: t + 1, how: "refused" });
    } else {
      inService.set(action.node, (inService.get(action.node) ?? 0) + 1);
      add({ ...due, at: t + scenario.serviceMs + Math.floor(draw() * scenario.serviceMs), how: "served",
        serves: true });
    }
  };
  const performAll = (t: number, actions: Action[]): void => {
    for (const action of actions) {
      for (const byte of Buffer.from(`${t} ${describe(action)}\n`)) {
        digest = Math.imul(digest ^ byte, 0x01000193);
      }
      if (action.kind === "send") {
        send(t, action);
      } else if (action.kind === "abandon") {
        abandoned.add(`${action.call}.${action.attempt}`);
      } else {
        outcomes.set(action.outcome.kind, (outcomes.get(action.outcome.kind) ?? 0) + 1);
      }
    }
  };
  const handleEnding = (t: number, due: PendingEnding): void => {
    if (due.serves) {
      inService.set(due.node, inService.get(due.node)! - 1);
    }
    if (abandoned.has(`${due.call}.${due.attempt}`)) {
      return;
    }
    const died = due.serves && scenario.down.some(([from]) => from > due.sentMs && from <= t);
    const kind = died ? "may-have-run" : due.how;
    performAll(t, caller.ended(t, due.call, due.attempt, { kind, answered: kind === "served" || kind === "refused",
      retryAfterMs: kind === "refused" ? scenario.refuseMs : -1, cause: "scripted" }));
  };
  for (let i = 0; i < scenario.nodes; i++) {
    performAll(0, caller.addNode(0, `n${i}`, false));
  }
  let callsStarted = 0;
  for (let t = 0; t <= scenario.until; t++) {
    while (caller.nextWakeMs() <= t) {
      performAll(t, caller.wake(t));
    }
    for (const due of pendingEndings.get(t) ?? []) {
      handleEnding(t, due);
    }
    pendingEndings.delete(t);
    for (let i = 0; i < scenario.perMs && callsStarted < scenario.calls; i++) {
      callsStarted++;
      performAll(t, caller.begin(t, callsStarted, (["safe", "keyed", "unsafe"] as const)[callsStarted % 3]!,
        scenario.within, scenario.window));
    }
  }
  const maxPerBucket = Math.max(0, ...sendsByBucket.values());
  const counts = [...outcomes].sort(([a], [b]) => (a < b ? -1 : 1)).map(([kind, n]) => `${kind}=${n}`).join(", ");
  const summary = `{${counts}} sent again ${resent}, most in 100 ms ${maxPerBucket}, open ${caller.open}, digest `
    + (digest >>> 0).toString(16);
  return { summary, resent, maxPerBucket };
}

for (const scenario of read<LoadScenario>("storms.json")) {
  test(`storms.json: ${scenario.about}`, () => {
    const { summary, resent, maxPerBucket } = playLoadScenario(scenario);
    assert.ok(resent <= scenario.resentMost, summary);
    assert.ok(maxPerBucket <= scenario.per100msMost, summary);
    assert.equal(summary, scenario.then);
  });
}

test("settings out of range are rejected", () => {
  assert.throws(() => resolveSettings({ attempts: 0 }), /attempts is 0, not 1 to 100/);
  assert.throws(() => resolveSettings({ limit: 300 }), /limit is 300, not 1 to 256/);
  assert.throws(() => resolveSettings({ limit: 1.5 }), RangeError);
  assert.throws(() => resolveSettings({ colour: 1 } as Partial<Settings>), /no setting 'colour'/);
});
