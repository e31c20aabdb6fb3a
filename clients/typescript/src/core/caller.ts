import TinyQueue from "tinyqueue";
import { Budget } from "./budget.js";
import { type Attempt, Call } from "./call.js";
import { Latencies } from "./latencies.js";
import { type Node, Nodes } from "./nodes.js";
import type { Repeat, Settings } from "./settings.js";
import { type Action, type Ending, type Outcome, type OutcomeKind, silent } from "./types.js";

const USUAL_PER_MILLE = 500;
const NEARLY_ALL_PER_MILLE = 950;

/** A call's wake-up; stale if the call has another one since. */
interface Timer {
  readonly atMs: number;
  readonly number: number;
  readonly call: Call;
}

/**
 * All calls of one client, without I/O. Each method is told the time and returns what is to be done now;
 * `nextWakeMs` says when `wake` is due. Times are in whole milliseconds from any beginning; one that goes back counts
 * as none passed.
 */
export class Caller {
  readonly #settings: Settings;
  readonly #draw: () => number;
  readonly #nodes: Nodes;
  readonly #budget: Budget;
  readonly #latencies = new Latencies();
  readonly #calls = new Map<number, Call>();
  readonly #line = new Set<Call>();
  readonly #timers = new TinyQueue<Timer>([], (a, b) => a.atMs - b.atMs || a.number - b.number);
  #timersMade = 0;
  #hadHope = false;
  #nowMs = -Infinity;
  #actions: Action[] = [];

  /** A client without nodes. `draw` gives random numbers from 0 up to, but not including, 1. */
  constructor(settings: Settings, draw: () => number) {
    this.#settings = settings;
    this.#draw = draw;
    this.#nodes = new Nodes(settings, draw);
    this.#budget = new Budget(settings.budget, settings.budgetPerMille);
  }

  /** A node to send to from now on; `local` ones come before the others. */
  addNode(now: number, name: string, local: boolean): Action[] {
    this.#at(now);
    this.#nodes.add(name, local, this.#nowMs);
    return this.#done();
  }

  /** A node that gets no more calls; those it has go on. */
  removeNode(now: number, name: string): Action[] {
    this.#at(now);
    this.#nodes.remove(name);
    return this.#done();
  }

  /**
   * A new call.
   *
   * @param id of the caller's choice; of no other call that is not over
   * @param withinMs its deadline, counted from now
   * @param windowMs of a keyed call: for how long servers drop repeats of its key
   * @throws Error if a call of this id is not over
   */
  begin(now: number, id: number, repeat: Repeat, withinMs: number, windowMs: number): Action[] {
    this.#at(now);
    if (this.#calls.has(id)) {
      throw new Error(`call ${id} is not over`);
    }
    const call = new Call(id, repeat, this.#nowMs + withinMs, windowMs);
    this.#calls.set(id, call);
    if (withinMs <= 0) {
      this.#end(call, failed("late", false, "no time left at its start"));
    } else {
      this.#place(call);
    }
    return this.#done();
  }

  /** How an attempt has ended; of one that is over already it has no effect. */
  ended(now: number, id: number, number: number, how: Ending): Action[] {
    this.#at(now);
    const call = this.#calls.get(id);
    const attempt = call?.attemptOut(number);
    if (call === undefined || attempt === undefined) {
      return this.#done();
    }
    const node = attempt.node;
    if (how.kind === "served") {
      node.served();
      this.#latencies.add(this.#nowMs - attempt.sentMs);
      this.#budget.served();
      attempt.over = true;
      this.#end(call, { kind: "served", mayHaveRun: true, comeBackMs: -1, attempt: number, cause: how.cause });
      return this.#done();
    }
    if (how.kind === "refused") {
      node.refused(attempt.sentMs, this.#nowMs);
    } else if (how.answered) {
      node.answered();
    } else {
      node.failed(attempt.sentMs, this.#nowMs);
    }
    call.ended(attempt, how, this.#nowMs);
    this.#again(call);
    return this.#done();
  }

  /** Whoever made the call has no more use for it. */
  cancel(now: number, id: number): Action[] {
    this.#at(now);
    const call = this.#calls.get(id);
    if (call !== undefined) {
      this.#end(call, failed("cancelled", call.mayHaveRun || call.isOut, "cancelled"));
    }
    return this.#done();
  }

  /** What is due by now. */
  wake(now: number): Action[] {
    this.#at(now);
    for (let timer = this.#timers.peek(); timer !== undefined && timer.atMs <= this.#nowMs;
      timer = this.#timers.peek()) {
      this.#timers.pop();
      if (!timer.call.over && timer.call.wakeMs === timer.atMs) {
        timer.call.wakeMs = Infinity;
        this.#tick(timer.call);
      }
    }
    return this.#done();
  }

  /** When `wake` is due, or infinity. */
  nextWakeMs(): number {
    let timer = this.#timers.peek();
    while (timer !== undefined && (timer.call.over || timer.call.wakeMs !== timer.atMs)) {
      this.#timers.pop();
      timer = this.#timers.peek();
    }
    const next = timer?.atMs ?? Infinity;
    const trial = this.#line.size === 0 ? -1 : this.#nodes.nextTrialMs(this.#nowMs);
    return trial < 0 ? next : Math.min(next, trial);
  }

  /** Calls that are not over. */
  get open(): number {
    return this.#calls.size;
  }

  #at(now: number): void {
    this.#nowMs = Math.max(this.#nowMs, now);
  }

  #done(): Action[] {
    this.#nodes.sweep();
    // Those in line first see whether there is room, or, once, that there is no more hope of it.
    const hope = this.#nodes.anyHopeful(this.#nowMs);
    const lost = this.#hadHope && !hope;
    this.#hadHope = hope;
    if (this.#line.size > 0 && (lost || this.#nodes.anyFree(this.#nowMs))) {
      for (const call of [...this.#line]) {
        this.#place(call);
        if (!lost && !this.#nodes.anyFree(this.#nowMs)) {
          break;
        }
      }
    }
    const all = this.#actions;
    this.#actions = [];
    return all;
  }

  // ------------------------------------------------------------ one call

  #wakeAt(call: Call, atMs: number): void {
    if (atMs !== call.wakeMs) {
      call.wakeMs = atMs;
      this.#timers.push({ atMs, number: this.#timersMade++, call });
    }
  }

  /** Sends it if a node has room; else it waits, or ends at once where waiting has no sense. */
  #place(call: Call): void {
    if (call.sendings > 0 && !this.#budget.has()) {
      this.#conclude(call);
      return;
    }
    const sendByMs = this.#sendByMs(call);
    if (this.#line.has(call) && this.#nowMs >= sendByMs) {
      this.#conclude(call);
      return;
    }
    const node = this.#nodes.choose(this.#nowMs, (n) => call.notBeforeMs(n) <= this.#nowMs,
      (n) => call.hasTried(n));
    if (node !== undefined) {
      this.#line.delete(call);
      this.#send(call, node);
      return;
    }
    const earliest = this.#nodes.earliestMs(this.#nowMs, (n) => call.notBeforeMs(n));
    if (earliest >= call.untilMs || (!this.#line.has(call) && this.#line.size >= this.#settings.waiting)) {
      this.#conclude(call);
      return;
    }
    this.#line.add(call);
    this.#wakeAt(call, earliest > this.#nowMs ? Math.min(earliest, sendByMs) : sendByMs);
  }

  /** Until when sending it has sense: later than that half of all answers would come too late. Calls that stand in
   * line until their last moment would take the room of those that can still be served. */
  #sendByMs(call: Call): number {
    const usual = this.#latencies.quantile(USUAL_PER_MILLE);
    return usual < 0 ? call.untilMs : call.untilMs - usual;
  }

  #send(call: Call, node: Node): void {
    if (call.sendings > 0) {
      this.#budget.take();
    }
    node.sent();
    const attempt = call.sent(node, this.#nowMs);
    this.#actions.push({ kind: "send", call: call.id, attempt: attempt.number, node: node.name,
      remainingMs: call.untilMs - this.#nowMs, resent: attempt.number > 0 });
    if (call.repeat === "safe" && attempt.number === 0 && this.#settings.secondCopyPerMille > 0) {
      const usual = this.#latencies.quantile(this.#settings.secondCopyPerMille);
      call.secondMs = usual < 0 ? -1 : this.#nowMs + usual;
    }
    this.#watch(call);
  }

  /** Wakes a call that is out when the first of its times comes. */
  #watch(call: Call): void {
    let next = call.untilMs;
    if (call.secondMs >= 0) {
      next = Math.min(next, call.secondMs);
    }
    if (this.#isTimed(call)) {
      for (const attempt of call.out()) {
        next = Math.min(next, attempt.sentMs + this.#settings.perAttemptMs);
      }
    }
    this.#wakeAt(call, next);
  }

  #isTimed(call: Call): boolean {
    return this.#settings.perAttemptMs > 0 && call.repeat !== "unsafe";
  }

  #tick(call: Call): void {
    if (this.#nowMs >= call.deadlineMs) {
      this.#late(call);
      return;
    }
    const closed = this.#nowMs >= call.untilMs;
    const waited = !call.isOut;
    for (const attempt of call.out()) {
      if (closed || (this.#isTimed(call) && this.#nowMs >= attempt.sentMs + this.#settings.perAttemptMs)) {
        this.#actions.push({ kind: "abandon", call: call.id, attempt: attempt.number });
        this.#silence(attempt);
        call.ended(attempt, silent("may-have-run", "no answer in its time"), this.#nowMs);
      }
    }
    if (!call.isOut) {
      if (closed) {
        this.#conclude(call);
      } else if (waited) {
        this.#place(call);
      } else {
        this.#again(call);
      }
      return;
    }
    if (call.secondMs >= 0 && this.#nowMs >= call.secondMs) {
      call.secondMs = -1;
      this.#secondCopy(call);
    }
    this.#watch(call);
  }

  #secondCopy(call: Call): void {
    if (call.sendings >= this.#settings.attempts || !this.#budget.has()) {
      return;
    }
    const node = this.#nodes.choose(this.#nowMs,
      (n) => !call.hasTried(n) && call.notBeforeMs(n) <= this.#nowMs, () => false);
    if (node !== undefined) {
      this.#send(call, node);
    }
  }

  /** After an attempt that was not served: whether, and when, it goes out again. */
  #again(call: Call): void {
    if (call.isOut) {
      this.#watch(call);
      return;
    }
    call.secondMs = -1;
    if (call.sendings >= this.#settings.attempts || !call.mayRepeat || !this.#budget.has()) {
      this.#conclude(call);
      return;
    }
    const backoffUntilMs = this.#nowMs + this.#waitMs(call);
    const earliest = Math.max(backoffUntilMs, this.#nodes.earliestMs(this.#nowMs, (n) => call.notBeforeMs(n)));
    if (earliest >= call.untilMs) {
      this.#conclude(call);
    } else if (backoffUntilMs > this.#nowMs) {
      this.#wakeAt(call, backoffUntilMs);
    } else {
      this.#place(call);
    }
  }

  /** Full jitter (Brooker, "Exponential Backoff And Jitter", 2015); none where nothing was reached and another node
   * can be asked. */
  #waitMs(call: Call): number {
    if (call.last?.kind === "never-ran" && this.#nodes.hasFree(this.#nowMs, (n) => !call.hasTried(n))) {
      return 0;
    }
    let most = this.#settings.backoffMs;
    for (let i = 1; i < call.sendings && most < this.#settings.backoffMostMs; i++) {
      most *= 2;
    }
    return Math.floor(this.#draw() * Math.min(most, this.#settings.backoffMostMs));
  }

  #late(call: Call): void {
    const ran = call.mayHaveRun || call.isOut;
    for (const attempt of call.out()) {
      this.#actions.push({ kind: "abandon", call: call.id, attempt: attempt.number });
      this.#silence(attempt);
      attempt.over = true;
    }
    this.#end(call, failed("late", ran, "its deadline has passed"));
  }

  /** A node that lets an attempt's time pass has failed, unless that was too short for nearly all answers. */
  #silence(attempt: Attempt): void {
    if (this.#nowMs - attempt.sentMs >= this.#latencies.quantile(NEARLY_ALL_PER_MILLE)) {
      attempt.node.failed(attempt.sentMs, this.#nowMs);
    } else {
      attempt.node.abandoned(attempt.sentMs);
    }
  }

  /** Nothing more is tried: what is known of it. */
  #conclude(call: Call): void {
    const last = call.last;
    const comeBackMs = call.comeBackMs === Infinity ? -1 : Math.max(0, call.comeBackMs - this.#nowMs);
    if (last === undefined) {
      this.#end(call, this.#nodes.anyHopeful(this.#nowMs)
        ? failed("refused", false, "no node has room for it in its time")
        : failed("never-ran", false, "no node to send it to"));
    } else if (call.mayHaveRun && (call.repeat !== "safe" || last.kind !== "refused")) {
      this.#end(call, { kind: "may-have-run", mayHaveRun: true, comeBackMs, attempt: -1, cause: last.cause });
    } else if (last.kind === "refused") {
      this.#end(call, { kind: "refused", mayHaveRun: call.mayHaveRun, comeBackMs, attempt: -1,
        cause: last.cause });
    } else {
      this.#end(call, failed("never-ran", false, last.cause));
    }
  }

  #end(call: Call, outcome: Outcome): void {
    for (const attempt of call.out()) {
      this.#actions.push({ kind: "abandon", call: call.id, attempt: attempt.number });
      attempt.node.abandoned(attempt.sentMs);
      attempt.over = true;
    }
    call.over = true;
    this.#calls.delete(call.id);
    this.#line.delete(call);
    this.#actions.push({ kind: "end", call: call.id, outcome });
  }
}

function failed(kind: OutcomeKind, mayHaveRun: boolean, cause: string): Outcome {
  return { kind, mayHaveRun, comeBackMs: -1, attempt: -1, cause };
}
