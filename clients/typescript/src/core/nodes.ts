import type { Settings } from "./settings.js";

const MILLE = 1_000;
const FAILURE_HALF_LIFE_MS = 10_000;
const MAX_HALVINGS = 30;
const MAX_RECENT_FAILURES_MILLE = 1_000_000;

/**
 * The state of one node: its attempts in flight, their limit, its recent failures and its ejection. The limit follows
 * the node's refusals (additive increase, multiplicative decrease at most once per round trip).
 */
export class Node {
  readonly name: string;
  readonly local: boolean;
  readonly #settings: Settings;
  #inFlight = 0;
  #removed = false;
  #limitMille: number;
  #limitLoweredMs = -Infinity;
  #recentFailuresMille = 0;
  #failuresDecayedMs: number;
  #consecutiveFailures = 0;
  #ejectionMs = 0;
  #ejectedUntilMs = -1;
  #trialInFlight = false;

  constructor(name: string, local: boolean, settings: Settings, nowMs: number) {
    this.name = name;
    this.local = local;
    this.#settings = settings;
    this.#limitMille = settings.limit * MILLE;
    this.#failuresDecayedMs = nowMs;
  }

  /** Whether it may get an attempt now. An ejected node whose time has passed gets one trial attempt at a time. */
  isAvailable(nowMs: number): boolean {
    if (this.#removed) {
      return false;
    }
    return this.#ejectedUntilMs >= 0
      ? nowMs >= this.#ejectedUntilMs && !this.#trialInFlight
      : this.#inFlight < Math.floor(this.#limitMille / MILLE);
  }

  /** Returns when an ejected node gets a trial attempt, if that is in the future; else -1. */
  trialMs(nowMs: number): number {
    return !this.#removed && this.#ejectedUntilMs > nowMs ? this.#ejectedUntilMs : -1;
  }

  /** Whether it is present and either not ejected or due for, or in, its trial. */
  isInRotation(nowMs: number): boolean {
    return !this.#removed && (this.#ejectedUntilMs < 0 || nowMs >= this.#ejectedUntilMs);
  }

  get isRemoved(): boolean {
    return this.#removed;
  }

  get isDrained(): boolean {
    return this.#removed && this.#inFlight === 0;
  }

  remove(): void {
    this.#removed = true;
  }

  /** Returns its load score, from attempts in flight and recent failures; lower is better. */
  score(nowMs: number): number {
    return (this.#inFlight + 1) * (MILLE + this.#decayFailures(nowMs));
  }

  recordSent(): void {
    this.#inFlight++;
    this.#trialInFlight = this.#ejectedUntilMs >= 0;
  }

  /** Records an attempt that was abandoned and says nothing about the node. */
  recordAbandoned(sentMs: number): void {
    this.#inFlight--;
    if (this.#isTrial(sentMs)) {
      this.#trialInFlight = false;
    }
  }

  /** Records an answer, whatever its status: the node is reachable, which ends its ejection. */
  recordAnswer(): void {
    this.#inFlight--;
    this.#consecutiveFailures = 0;
    if (this.#ejectedUntilMs >= 0) {
      // The limit starts afresh, so that the calls that waited for the node do not reach it all at once.
      this.#ejectedUntilMs = -1;
      this.#ejectionMs = 0;
      this.#trialInFlight = false;
      this.#limitMille = this.#settings.limit * MILLE;
    }
  }

  /** Records a served call: the limit grows by one per full round of it, while at least half of it is in use. */
  recordServed(): void {
    const limitInUse = 2 * this.#inFlight >= Math.floor(this.#limitMille / MILLE);
    this.recordAnswer();
    if (limitInUse) {
      this.#limitMille = Math.min(this.#settings.limitMost * MILLE,
        this.#limitMille + Math.floor((MILLE * MILLE) / this.#limitMille));
    }
  }

  /** Records a refusal: lowers the limit to 7/10, but once only for all attempts that were in flight together. */
  recordRefusal(sentMs: number, nowMs: number): void {
    this.recordAnswer();
    if (sentMs >= this.#limitLoweredMs) {
      this.#limitMille = Math.max(MILLE, Math.floor((this.#limitMille * 7) / 10));
      this.#limitLoweredMs = nowMs + 1;
    }
  }

  /** Records an attempt without an answer; ejects the node after enough in a row, or after a failed trial. */
  recordFailure(sentMs: number, nowMs: number): void {
    this.#inFlight--;
    this.#recentFailuresMille = Math.min(MAX_RECENT_FAILURES_MILLE, this.#decayFailures(nowMs) + MILLE);
    this.#consecutiveFailures++;
    if (this.#isTrial(sentMs)) {
      this.#trialInFlight = false;
      this.#eject(nowMs);
    } else if (this.#ejectedUntilMs < 0 && this.#consecutiveFailures >= this.#settings.ejectAfter) {
      this.#eject(nowMs);
    }
  }

  /** Whether an attempt is the trial: attempts sent before the ejection ended say nothing about it. */
  #isTrial(sentMs: number): boolean {
    return this.#trialInFlight && sentMs >= this.#ejectedUntilMs;
  }

  #eject(nowMs: number): void {
    this.#ejectionMs = this.#ejectionMs === 0
      ? this.#settings.ejectMs : Math.min(this.#settings.ejectMostMs, 2 * this.#ejectionMs);
    this.#ejectedUntilMs = nowMs + this.#ejectionMs;
  }

  #decayFailures(nowMs: number): number {
    const halvings = Math.floor((nowMs - this.#failuresDecayedMs) / FAILURE_HALF_LIFE_MS);
    if (halvings > 0) {
      this.#recentFailuresMille = Math.floor(this.#recentFailuresMille / 2 ** Math.min(MAX_HALVINGS, halvings));
      this.#failuresDecayedMs += halvings * FAILURE_HALF_LIFE_MS;
    }
    return this.#recentFailuresMille;
  }
}

/**
 * The nodes that calls go to, and the choice among them: the better of two drawn at random (Mitzenmacher, "The Power of
 * Two Choices", 2001), among the local nodes while one of them is available.
 */
export class Nodes {
  readonly #settings: Settings;
  readonly #random: () => number;
  #nodes: Node[] = [];

  constructor(settings: Settings, random: () => number) {
    this.#settings = settings;
    this.#random = random;
  }

  /** Adds a node. One that is present stays as it is; one that is being removed is added as a new node. */
  add(name: string, local: boolean, nowMs: number): void {
    if (!this.#nodes.some((n) => n.name === name && !n.isRemoved)) {
      this.#nodes.push(new Node(name, local, this.#settings, nowMs));
    }
  }

  remove(name: string): void {
    this.#nodes.filter((n) => n.name === name).forEach((n) => n.remove());
    this.removeDrained();
  }

  /** Drops removed nodes that have no attempts in flight. */
  removeDrained(): void {
    if (this.#nodes.some((n) => n.isDrained)) {
      this.#nodes = this.#nodes.filter((n) => !n.isDrained);
    }
  }

  anyAvailable(nowMs: number): boolean {
    return this.#nodes.some((n) => n.isAvailable(nowMs));
  }

  anyInRotation(nowMs: number): boolean {
    return this.#nodes.some((n) => n.isInRotation(nowMs));
  }

  /** Whether a node that matches may get an attempt now. */
  anyAvailableAmong(nowMs: number, matches: (node: Node) => boolean): boolean {
    return this.#nodes.some((n) => n.isAvailable(nowMs) && matches(n));
  }

  /** Returns the earliest time at which an ejected node gets a trial attempt; -1 if none is due later. */
  nextTrialMs(nowMs: number): number {
    const times = this.#nodes.map((n) => n.trialMs(nowMs)).filter((t) => t >= 0);
    return times.length === 0 ? -1 : Math.min(...times);
  }

  /**
   * Returns the earliest time at which a call may get a node: now if one is only at its limit, infinity if there are no
   * nodes.
   *
   * @param notBeforeMs when a node accepts the call by its Retry-After
   */
  earliestSendMs(nowMs: number, notBeforeMs: (node: Node) => number): number {
    let earliest = Infinity;
    for (const node of this.#nodes) {
      if (!node.isRemoved) {
        earliest = Math.min(earliest, Math.max(nowMs, node.trialMs(nowMs), notBeforeMs(node)));
      }
    }
    return earliest;
  }

  /**
   * Returns the node for an attempt, or undefined if no usable node is available.
   *
   * @param mayUse whether a node may be chosen at all
   * @param tried whether the call has been sent to a node before; others are preferred
   */
  choose(nowMs: number, mayUse: (node: Node) => boolean, tried: (node: Node) => boolean): Node | undefined {
    let candidates = this.#nodes.filter((n) => n.isAvailable(nowMs) && mayUse(n));
    candidates = preferred(candidates, (n) => !tried(n));
    candidates = preferred(candidates, (n) => n.local);
    if (candidates.length < 2) {
      return candidates[0];
    }
    const first = Math.floor(this.#random() * candidates.length);
    let second = Math.floor(this.#random() * (candidates.length - 1));
    if (second >= first) {
      second++;
    }
    return candidates[second]!.score(nowMs) < candidates[first]!.score(nowMs) ? candidates[second] : candidates[first];
  }
}

function preferred(candidates: Node[], isPreferred: (node: Node) => boolean): Node[] {
  const matching = candidates.filter(isPreferred);
  return matching.length === 0 ? candidates : matching;
}
