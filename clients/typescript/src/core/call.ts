import type { Node } from "./nodes.js";
import type { Repeat } from "./settings.js";
import type { Ending } from "./types.js";

/** An attempt; over once it has ended or been given up. */
export interface Attempt {
  readonly number: number;
  readonly node: Node;
  readonly sentMs: number;
  over: boolean;
}

/** One call: its attempts, and what they have told. */
export class Call {
  readonly id: number;
  readonly repeat: Repeat;
  readonly deadlineMs: number;
  /** When its second copy is due; -1 if none is. */
  secondMs = -1;
  /** The one time at which it wants to be woken. */
  wakeMs = Infinity;
  over = false;
  last: Ending | undefined;
  readonly #windowMs: number;
  readonly #attempts: Attempt[] = [];
  readonly #notBefore = new Map<Node, number>();
  #windowEndMs = Infinity;
  #mayHaveRun = false;

  constructor(id: number, repeat: Repeat, deadlineMs: number, windowMs: number) {
    this.id = id;
    this.repeat = repeat;
    this.deadlineMs = deadlineMs;
    this.#windowMs = windowMs;
  }

  sent(node: Node, nowMs: number): Attempt {
    const attempt = { number: this.#attempts.length, node, sentMs: nowMs, over: false };
    this.#attempts.push(attempt);
    return attempt;
  }

  /** The attempt of this number if it is out. */
  attemptOut(number: number): Attempt | undefined {
    const one = this.#attempts[number];
    return one === undefined || one.over ? undefined : one;
  }

  out(): Attempt[] {
    return this.#attempts.filter((a) => !a.over);
  }

  get isOut(): boolean {
    return this.#attempts.some((a) => !a.over);
  }

  get sendings(): number {
    return this.#attempts.length;
  }

  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** An attempt of it is over, and this is all that is known of it. */
  ended(attempt: Attempt, how: Ending, nowMs: number): void {
    attempt.over = true;
    this.last = how;
    if (how.kind === "may-have-run") {
      this.#mayHaveRun = true;
      if (this.repeat === "keyed") {
        this.#windowEndMs = Math.min(this.#windowEndMs, attempt.sentMs + this.#windowMs);
      }
    } else if (how.kind === "refused" && how.retryAfterMs >= 0) {
      this.#notBefore.set(attempt.node, Math.max(this.notBeforeMs(attempt.node), nowMs + how.retryAfterMs));
    }
  }

  hasTried(node: Node): boolean {
    return this.#attempts.some((a) => a.node === node);
  }

  /** When this node takes it, by the node's own word; the distant past if it has said none. */
  notBeforeMs(node: Node): number {
    return this.#notBefore.get(node) ?? -Infinity;
  }

  /** The earliest time that any node has named; infinity if none has. */
  get comeBackMs(): number {
    return Math.min(...this.#notBefore.values());
  }

  /** Until when it may be answered. A repeat of a keyed call that may have run must not arrive after the servers
   * have forgotten its key, however long it is on its way: so it is given up by then. */
  get untilMs(): number {
    return Math.min(this.deadlineMs, this.#windowEndMs);
  }

  /** Whether its class lets it go out once more. */
  get mayRepeat(): boolean {
    return this.repeat !== "unsafe" || !this.#mayHaveRun;
  }
}
