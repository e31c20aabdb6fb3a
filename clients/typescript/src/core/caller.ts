import TinyQueue from "tinyqueue";
import { Budget } from "./budget.js";
import { type Attempt, Call } from "./call.js";
import { Latencies } from "./latencies.js";
import { type Node, Nodes } from "./nodes.js";
import type { Repeat, Settings } from "./settings.js";
import { type Action, type Ending, type Outcome, type OutcomeKind, silent } from "./types.js";

const MEDIAN_PER_MILLE = 500;
const SLOW_ANSWER_PER_MILLE = 950;

/** A scheduled wake-up of a call; stale if the call has been rescheduled since. */
interface Timer {
  readonly atMs: number;
  readonly sequence: number;
  readonly call: Call;
}

/**
 * Makes all decisions for the calls of one client: node choice, retries, hedges and endings. It does no I/O: each
 * method takes the current time and returns the actions to perform now; `nextWakeMs` says when `wake` is due. Times are
 * in whole milliseconds since any fixed start; a time that goes backwards counts as no time passed.
 */
export class Caller {
  readonly #settings: Settings;
  readonly #random: () => number;
  readonly #nodes: Nodes;
  readonly #budget: Budget;
  readonly #latencies = new Latencies();
  readonly #calls = new Map<number, Call>();
  readonly #waitingCalls = new Set<Call>();
  readonly #timers = new TinyQueue<Timer>([], (a, b) => a.atMs - b.atMs || a.sequence - b.sequence);
  #timersCreated = 0;
  #hadNodeInRotation = false;
  #nowMs = -Infinity;
  #actions: Action[] = [];

  /** Creates a caller without nodes. `random` returns random numbers from 0 up to, but not including, 1. */
  constructor(settings: Settings, random: () => number) {
    this.#settings = settings;
    this.#random = random;
    this.#nodes = new Nodes(settings, random);
    this.#budget = new Budget(settings.budget, settings.budgetPerMille);
  }

  /**
   * Adds a node to send to from now on.
   *
   * @param name the node's URL; a node of this name that is not removed is left as it is
   * @param local whether it is preferred to nodes that are not local
   */
  addNode(now: number, name: string, local: boolean): Action[] {
    this.#advanceClock(now);
    this.#nodes.add(name, local, this.#nowMs);
    return this.#takeActions();
  }

  /** Removes a node: it gets no new attempts, and its attempts in flight continue. */
  removeNode(now: number, name: string): Action[] {
    this.#advanceClock(now);
    this.#nodes.remove(name);
    return this.#takeActions();
  }

  /**
   * Starts a call.
   *
   * @param id chosen by the caller of this method; must differ from the ids of all unfinished calls
   * @param withinMs its deadline, relative to now; a call with 0 or less ends at once as late
   * @param windowMs for a keyed call, how long servers drop repeats of its key; otherwise ignored
   * @throws Error if an unfinished call has this id
   */
  begin(now: number, id: number, repeat: Repeat, withinMs: number, windowMs: number): Action[] {
    this.#advanceClock(now);
    if (this.#calls.has(id)) {
      throw new Error(`call ${id} is not over`);
    }
    const call = new Call(id, repeat, this.#nowMs + withinMs, windowMs);
    this.#calls.set(id, call);
    if (withinMs <= 0) {
      this.#end(call, failed("late", false, "its deadline had passed when it started"));
    } else {
      this.#dispatch(call);
    }
    return this.#takeActions();
  }

  /** Records how an attempt has ended; has no effect for an attempt that has finished already. */
  ended(now: number, id: number, number: number, ending: Ending): Action[] {
    this.#advanceClock(now);
    const call = this.#calls.get(id);
    const attempt = call?.inFlightAttempt(number);
    if (call === undefined || attempt === undefined) {
      return this.#takeActions();
    }
    const node = attempt.node;
    if (ending.kind === "served") {
      node.recordServed();
      this.#latencies.add(this.#nowMs - attempt.sentMs);
      this.#budget.creditServedCall();
      attempt.finished = true;
      this.#end(call, { kind: "served", mayHaveRun: true, comeBackMs: -1, attempt: number, cause: ending.cause });
      return this.#takeActions();
    }
    if (ending.kind === "refused") {
      node.recordRefusal(attempt.sentMs, this.#nowMs);
    } else if (ending.answered) {
      node.recordAnswer();
    } else {
      node.recordFailure(attempt.sentMs, this.#nowMs);
    }
    call.recordEnding(attempt, ending, this.#nowMs);
    this.#retryOrConclude(call);
    return this.#takeActions();
  }

  /** Cancels a call and abandons its attempts in flight; has no effect for a call that is over. */
  cancel(now: number, id: number): Action[] {
    this.#advanceClock(now);
    const call = this.#calls.get(id);
    if (call !== undefined) {
      this.#end(call, failed("cancelled", call.mayHaveRun || call.isInFlight, "cancelled"));
    }
    return this.#takeActions();
  }

  /** Handles all wake-ups that are due. */
  wake(now: number): Action[] {
    this.#advanceClock(now);
    for (let timer = this.#timers.peek(); timer !== undefined && timer.atMs <= this.#nowMs;
      timer = this.#timers.peek()) {
      this.#timers.pop();
      if (!timer.call.finished && timer.call.wakeAtMs === timer.atMs) {
        timer.call.wakeAtMs = Infinity;
        this.#handleWake(timer.call);
      }
    }
    return this.#takeActions();
  }

  /** Returns when `wake` is due, or infinity. */
  nextWakeMs(): number {
    let timer = this.#timers.peek();
    while (timer !== undefined && (timer.call.finished || timer.call.wakeAtMs !== timer.atMs)) {
      this.#timers.pop();
      timer = this.#timers.peek();
    }
    const next = timer?.atMs ?? Infinity;
    const trial = this.#waitingCalls.size === 0 ? -1 : this.#nodes.nextTrialMs(this.#nowMs);
    return trial < 0 ? next : Math.min(next, trial);
  }

  /** The number of calls that are not over. */
  get open(): number {
    return this.#calls.size;
  }

  #advanceClock(now: number): void {
    this.#nowMs = Math.max(this.#nowMs, now);
  }

  #takeActions(): Action[] {
    this.#nodes.removeDrained();
    // Waiting calls are dispatched in order while a node is available. When the last node leaves the rotation, all of
    // them are tried once, so that those which cannot be served in time end now.
    const hasNodeInRotation = this.#nodes.anyInRotation(this.#nowMs);
    const lostLastNode = this.#hadNodeInRotation && !hasNodeInRotation;
    this.#hadNodeInRotation = hasNodeInRotation;
    if (this.#waitingCalls.size > 0 && (lostLastNode || this.#nodes.anyAvailable(this.#nowMs))) {
      for (const call of [...this.#waitingCalls]) {
        this.#dispatch(call);
        if (!lostLastNode && !this.#nodes.anyAvailable(this.#nowMs)) {
          break;
        }
      }
    }
    const pending = this.#actions;
    this.#actions = [];
    return pending;
  }

  #wakeAt(call: Call, atMs: number): void {
    if (atMs !== call.wakeAtMs) {
      call.wakeAtMs = atMs;
      this.#timers.push({ atMs, sequence: this.#timersCreated++, call });
    }
  }

  /** Sends a call if a node is available; otherwise it waits, or ends at once if waiting cannot help. */
  #dispatch(call: Call): void {
    if (call.attemptCount > 0 && !this.#budget.hasRetry()) {
      this.#conclude(call);
      return;
    }
    const sendByMs = this.#latestSendMs(call);
    if (this.#waitingCalls.has(call) && this.#nowMs >= sendByMs) {
      this.#conclude(call);
      return;
    }
    const node = this.#nodes.choose(this.#nowMs, (n) => call.notBeforeMs(n) <= this.#nowMs,
      (n) => call.hasTried(n));
    if (node !== undefined) {
      this.#waitingCalls.delete(call);
      this.#send(call, node);
      return;
    }
    const earliest = this.#nodes.earliestSendMs(this.#nowMs, (n) => call.notBeforeMs(n));
    if (earliest >= call.answerByMs
        || (!this.#waitingCalls.has(call) && this.#waitingCalls.size >= this.#settings.waiting)) {
      this.#conclude(call);
      return;
    }
    this.#waitingCalls.add(call);
    this.#wakeAt(call, earliest > this.#nowMs ? Math.min(earliest, sendByMs) : sendByMs);
  }

  /**
   * Returns the last time at which a call may be sent: half of all answers would come too late after it. Calls
   * that waited until their very deadline would use capacity that others need to be served in time.
   */
  #latestSendMs(call: Call): number {
    const medianMs = this.#latencies.quantile(MEDIAN_PER_MILLE);
    return medianMs < 0 ? call.answerByMs : call.answerByMs - medianMs;
  }

  #send(call: Call, node: Node): void {
    if (call.attemptCount > 0) {
      this.#budget.spendRetry();
    }
    node.recordSent();
    const attempt = call.addAttempt(node, this.#nowMs);
    this.#actions.push({ kind: "send", call: call.id, attempt: attempt.number, node: node.name,
      remainingMs: call.answerByMs - this.#nowMs, resent: attempt.number > 0 });
    if (call.repeat === "safe" && attempt.number === 0 && this.#settings.secondCopyPerMille > 0) {
      const hedgeDelayMs = this.#latencies.quantile(this.#settings.secondCopyPerMille);
      call.hedgeAtMs = hedgeDelayMs < 0 ? -1 : this.#nowMs + hedgeDelayMs;
    }
    this.#scheduleNextWake(call);
  }

  /** Wakes a call in flight at the earliest of its answer limit, its hedge and its attempts' timeouts. */
  #scheduleNextWake(call: Call): void {
    let next = call.answerByMs;
    if (call.hedgeAtMs >= 0) {
      next = Math.min(next, call.hedgeAtMs);
    }
    if (this.#hasAttemptTimeout(call)) {
      for (const attempt of call.inFlightAttempts()) {
        next = Math.min(next, attempt.sentMs + this.#settings.perAttemptMs);
      }
    }
    this.#wakeAt(call, next);
  }

  #hasAttemptTimeout(call: Call): boolean {
    return this.#settings.perAttemptMs > 0 && call.repeat !== "unsafe";
  }

  #handleWake(call: Call): void {
    if (this.#nowMs >= call.deadlineMs) {
      this.#expire(call);
      return;
    }
    const isTooLate = this.#nowMs >= call.answerByMs;
    const wasWaiting = !call.isInFlight;
    for (const attempt of call.inFlightAttempts()) {
      if (isTooLate || (this.#hasAttemptTimeout(call) && this.#nowMs >= attempt.sentMs + this.#settings.perAttemptMs)) {
        this.#actions.push({ kind: "abandon", call: call.id, attempt: attempt.number });
        this.#recordTimeout(attempt);
        call.recordEnding(attempt, silent("may-have-run", "no answer in time"), this.#nowMs);
      }
    }
    if (!call.isInFlight) {
      if (isTooLate) {
        this.#conclude(call);
      } else if (wasWaiting) {
        this.#dispatch(call);
      } else {
        this.#retryOrConclude(call);
      }
      return;
    }
    if (call.hedgeAtMs >= 0 && this.#nowMs >= call.hedgeAtMs) {
      call.hedgeAtMs = -1;
      this.#sendHedge(call);
    }
    this.#scheduleNextWake(call);
  }

  #sendHedge(call: Call): void {
    if (call.attemptCount >= this.#settings.attempts || !this.#budget.hasRetry()) {
      return;
    }
    const node = this.#nodes.choose(this.#nowMs,
      (n) => !call.hasTried(n) && call.notBeforeMs(n) <= this.#nowMs, () => false);
    if (node !== undefined) {
      this.#send(call, node);
    }
  }

  /** After an attempt that was not served: retries now, schedules a retry, or ends the call. */
  #retryOrConclude(call: Call): void {
    if (call.isInFlight) {
      this.#scheduleNextWake(call);
      return;
    }
    call.hedgeAtMs = -1;
    if (call.attemptCount >= this.#settings.attempts || !call.mayRetry || !this.#budget.hasRetry()) {
      this.#conclude(call);
      return;
    }
    const backoffUntilMs = this.#nowMs + this.#backoffMs(call);
    const earliest = Math.max(backoffUntilMs, this.#nodes.earliestSendMs(this.#nowMs, (n) => call.notBeforeMs(n)));
    if (earliest >= call.answerByMs) {
      this.#conclude(call);
    } else if (backoffUntilMs > this.#nowMs) {
      this.#wakeAt(call, backoffUntilMs);
    } else {
      this.#dispatch(call);
    }
  }

  /**
   * Returns the wait before a retry: exponential with full jitter (Brooker, "Exponential Backoff And Jitter", 2015). It
   * is 0 if the last attempt never ran and an untried node is available.
   */
  #backoffMs(call: Call): number {
    if (call.lastEnding?.kind === "never-ran" && this.#nodes.anyAvailableAmong(this.#nowMs, (n) => !call.hasTried(n))) {
      return 0;
    }
    let maxWaitMs = this.#settings.backoffMs;
    for (let i = 1; i < call.attemptCount && maxWaitMs < this.#settings.backoffMostMs; i++) {
      maxWaitMs *= 2;
    }
    return Math.floor(this.#random() * Math.min(maxWaitMs, this.#settings.backoffMostMs));
  }

  #expire(call: Call): void {
    const mayHaveRun = call.mayHaveRun || call.isInFlight;
    for (const attempt of call.inFlightAttempts()) {
      this.#actions.push({ kind: "abandon", call: call.id, attempt: attempt.number });
      this.#recordTimeout(attempt);
      attempt.finished = true;
    }
    this.#end(call, failed("late", mayHaveRun, "its deadline has passed"));
  }

  /** Records an attempt that timed out: a failure of its node, unless it had less time than nearly all answers take. */
  #recordTimeout(attempt: Attempt): void {
    if (this.#nowMs - attempt.sentMs >= this.#latencies.quantile(SLOW_ANSWER_PER_MILLE)) {
      attempt.node.recordFailure(attempt.sentMs, this.#nowMs);
    } else {
      attempt.node.recordAbandoned(attempt.sentMs);
    }
  }

  /** Ends a call that is not retried, with the outcome that follows from its attempts. */
  #conclude(call: Call): void {
    const last = call.lastEnding;
    const retryAfterMs = call.earliestRetryMs === Infinity ? -1 : Math.max(0, call.earliestRetryMs - this.#nowMs);
    if (last === undefined) {
      this.#end(call, this.#nodes.anyInRotation(this.#nowMs)
        ? failed("refused", false, "no node has capacity for it before its deadline")
        : failed("never-ran", false, "no node is available"));
    } else if (call.mayHaveRun && (call.repeat !== "safe" || last.kind !== "refused")) {
      this.#end(call, { kind: "may-have-run", mayHaveRun: true, comeBackMs: retryAfterMs, attempt: -1,
        cause: last.cause });
    } else if (last.kind === "refused") {
      this.#end(call, { kind: "refused", mayHaveRun: call.mayHaveRun, comeBackMs: retryAfterMs, attempt: -1,
        cause: last.cause });
    } else {
      this.#end(call, failed("never-ran", false, last.cause));
    }
  }

  #end(call: Call, outcome: Outcome): void {
    for (const attempt of call.inFlightAttempts()) {
      this.#actions.push({ kind: "abandon", call: call.id, attempt: attempt.number });
      attempt.node.recordAbandoned(attempt.sentMs);
      attempt.finished = true;
    }
    call.finished = true;
    this.#calls.delete(call.id);
    this.#waitingCalls.delete(call);
    this.#actions.push({ kind: "end", call: call.id, outcome });
  }
}

function failed(kind: OutcomeKind, mayHaveRun: boolean, cause: string): Outcome {
  return { kind, mayHaveRun, comeBackMs: -1, attempt: -1, cause };
}
