import type { Settings } from "./settings.js";

const MILLE = 1_000;
const HALF_LIFE_MS = 10_000;
const MOST_HALVINGS = 30;
const MOST_RECENT = 1_000_000;

/** What is known of one node: calls in flight, a limit on them that follows its refusals (additive increase,
 * multiplicative decrease, at most once a round trip), failures, and whether it is left out for a while. */
export class Node {
  readonly name: string;
  readonly local: boolean;
  readonly #settings: Settings;
  #inFlight = 0;
  #removed = false;
  #limit: number;
  #loweredMs = -Infinity;
  #recent = 0;
  #recentMs: number;
  #inRow = 0;
  #ejectedMs = 0;
  #ejectedUntilMs = -1;
  #trying = false;

  constructor(name: string, local: boolean, settings: Settings, nowMs: number) {
    this.name = name;
    this.local = local;
    this.#settings = settings;
    this.#limit = settings.limit * MILLE;
    this.#recentMs = nowMs;
  }

  /** Whether it may get a call now: a node on trial gets one, and nobody else until that has ended. */
  free(nowMs: number): boolean {
    if (this.#removed) {
      return false;
    }
    return this.#ejectedUntilMs >= 0
      ? nowMs >= this.#ejectedUntilMs && !this.#trying
      : this.#inFlight < Math.floor(this.#limit / MILLE);
  }

  /** When it is tried again, if that is still to come; else -1. */
  trialMs(nowMs: number): number {
    return !this.#removed && this.#ejectedUntilMs > nowMs ? this.#ejectedUntilMs : -1;
  }

  /** Whether calls may be had from it before long: it is there and not left out, or being tried. */
  hopeful(nowMs: number): boolean {
    return !this.#removed && (this.#ejectedUntilMs < 0 || nowMs >= this.#ejectedUntilMs);
  }

  get removed(): boolean {
    return this.#removed;
  }

  get gone(): boolean {
    return this.#removed && this.#inFlight === 0;
  }

  remove(): void {
    this.#removed = true;
  }

  /** By calls in flight and recent failures; the lower the better. */
  score(nowMs: number): number {
    return (this.#inFlight + 1) * (MILLE + this.#decayed(nowMs));
  }

  sent(): void {
    this.#inFlight++;
    this.#trying = this.#ejectedUntilMs >= 0;
  }

  /** An attempt is over without a word about the node: its caller has no more use for it. */
  abandoned(sentMs: number): void {
    this.#inFlight--;
    if (this.#isTrial(sentMs)) {
      this.#trying = false;
    }
  }

  /** It has answered, so it is there. */
  answered(): void {
    this.#inFlight--;
    this.#inRow = 0;
    if (this.#ejectedUntilMs >= 0) {
      // Back, but as one that nobody knows: those who waited for it come bit by bit.
      this.#ejectedUntilMs = -1;
      this.#ejectedMs = 0;
      this.#trying = false;
      this.#limit = this.#settings.limit * MILLE;
    }
  }

  /** It has served a call: room for one more for each round of its limit, while that is made use of. */
  served(): void {
    const inUse = 2 * this.#inFlight >= Math.floor(this.#limit / MILLE);
    this.answered();
    if (inUse) {
      this.#limit = Math.min(this.#settings.limitMost * MILLE,
        this.#limit + Math.floor((MILLE * MILLE) / this.#limit));
    }
  }

  /** It has refused a call: fewer at a time, but once only for all that were out together. */
  refused(sentMs: number, nowMs: number): void {
    this.answered();
    if (sentMs >= this.#loweredMs) {
      this.#limit = Math.max(MILLE, Math.floor((this.#limit * 7) / 10));
      this.#loweredMs = nowMs + 1;
    }
  }

  /** It has not answered. */
  failed(sentMs: number, nowMs: number): void {
    this.#inFlight--;
    this.#recent = Math.min(MOST_RECENT, this.#decayed(nowMs) + MILLE);
    this.#inRow++;
    if (this.#isTrial(sentMs)) {
      this.#trying = false;
      this.#eject(nowMs);
    } else if (this.#ejectedUntilMs < 0 && this.#inRow >= this.#settings.ejectAfter) {
      this.#eject(nowMs);
    }
  }

  /** Calls from before it was left out say nothing about the trial. */
  #isTrial(sentMs: number): boolean {
    return this.#trying && sentMs >= this.#ejectedUntilMs;
  }

  #eject(nowMs: number): void {
    this.#ejectedMs = this.#ejectedMs === 0
      ? this.#settings.ejectMs : Math.min(this.#settings.ejectMostMs, 2 * this.#ejectedMs);
    this.#ejectedUntilMs = nowMs + this.#ejectedMs;
  }

  #decayed(nowMs: number): number {
    const halvings = Math.floor((nowMs - this.#recentMs) / HALF_LIFE_MS);
    if (halvings > 0) {
      this.#recent = Math.floor(this.#recent / 2 ** Math.min(MOST_HALVINGS, halvings));
      this.#recentMs += halvings * HALF_LIFE_MS;
    }
    return this.#recent;
  }
}

/** The nodes that calls go to, and the choice among them: the better of two drawn at random (Mitzenmacher, "The
 * Power of Two Choices", 2001), among local ones while one of them has room. */
export class Nodes {
  readonly #settings: Settings;
  readonly #draw: () => number;
  #nodes: Node[] = [];

  constructor(settings: Settings, draw: () => number) {
    this.#settings = settings;
    this.#draw = draw;
  }

  /** One that is there already stays as it is; one that was being removed comes as a new one. */
  add(name: string, local: boolean, nowMs: number): void {
    if (!this.#nodes.some((n) => n.name === name && !n.removed)) {
      this.#nodes.push(new Node(name, local, this.#settings, nowMs));
    }
  }

  remove(name: string): void {
    this.#nodes.filter((n) => n.name === name).forEach((n) => n.remove());
    this.sweep();
  }

  /** Forgets removed nodes that have nothing in flight. */
  sweep(): void {
    if (this.#nodes.some((n) => n.gone)) {
      this.#nodes = this.#nodes.filter((n) => !n.gone);
    }
  }

  anyFree(nowMs: number): boolean {
    return this.#nodes.some((n) => n.free(nowMs));
  }

  anyHopeful(nowMs: number): boolean {
    return this.#nodes.some((n) => n.hopeful(nowMs));
  }

  /** Whether one of these may get a call now. */
  hasFree(nowMs: number, which: (node: Node) => boolean): boolean {
    return this.#nodes.some((n) => n.free(nowMs) && which(n));
  }

  /** The first time at which a node that is left out is tried again; -1 if none is. */
  nextTrialMs(nowMs: number): number {
    const times = this.#nodes.map((n) => n.trialMs(nowMs)).filter((t) => t >= 0);
    return times.length === 0 ? -1 : Math.min(...times);
  }

  /** When a call may get a node at the earliest: now if one is merely full, infinity if there is none. */
  earliestMs(nowMs: number, notBeforeMs: (node: Node) => number): number {
    let earliest = Infinity;
    for (const node of this.#nodes) {
      if (!node.removed) {
        earliest = Math.min(earliest, Math.max(nowMs, node.trialMs(nowMs), notBeforeMs(node)));
      }
    }
    return earliest;
  }

  /** The node for an attempt, or none if none that may be used has room. */
  choose(nowMs: number, mayUse: (node: Node) => boolean, tried: (node: Node) => boolean): Node | undefined {
    let some = this.#nodes.filter((n) => n.free(nowMs) && mayUse(n));
    some = preferred(some, (n) => !tried(n));
    some = preferred(some, (n) => n.local);
    if (some.length < 2) {
      return some[0];
    }
    const one = Math.floor(this.#draw() * some.length);
    let other = Math.floor(this.#draw() * (some.length - 1));
    if (other >= one) {
      other++;
    }
    return some[other]!.score(nowMs) < some[one]!.score(nowMs) ? some[other] : some[one];
  }
}

function preferred(some: Node[], better: (node: Node) => boolean): Node[] {
  const those = some.filter(better);
  return those.length === 0 ? some : those;
}
