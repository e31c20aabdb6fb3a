import type { Node } from "./nodes.js";
import type { Repeat } from "./settings.js";
import type { Ending } from "./types.js";

/** One attempt; finished once it has ended or was abandoned. */
export interface Attempt {
  readonly number: number;
  readonly node: Node;
  readonly sentMs: number;
  finished: boolean;
}

/** One call: its class, deadline and attempts, and what their endings say. */
export class Call {
  readonly id: number;
  readonly repeat: Repeat;
  readonly deadlineMs: number;
  /** When its hedge is due; -1 if none is. */
  hedgeAtMs = -1;
  /** When its one valid wake-up is due. */
  wakeAtMs = Infinity;
  finished = false;
  lastEnding: Ending | undefined;
  readonly #deduplicationWindowMs: number;
  readonly #attempts: Attempt[] = [];
  readonly #notBeforeMsByNode = new Map<Node, number>();
  #deduplicationEndMs = Infinity;
  #mayHaveRun = false;

  constructor(id: number, repeat: Repeat, deadlineMs: number, windowMs: number) {
    this.id = id;
    this.repeat = repeat;
    this.deadlineMs = deadlineMs;
    this.#deduplicationWindowMs = windowMs;
  }

  addAttempt(node: Node, nowMs: number): Attempt {
    const attempt = { number: this.#attempts.length, node, sentMs: nowMs, finished: false };
    this.#attempts.push(attempt);
    return attempt;
  }

  /** Returns the attempt of this number if it is in flight. */
  inFlightAttempt(number: number): Attempt | undefined {
    const attempt = this.#attempts[number];
    return attempt === undefined || attempt.finished ? undefined : attempt;
  }

  inFlightAttempts(): Attempt[] {
    return this.#attempts.filter((a) => !a.finished);
  }

  get isInFlight(): boolean {
    return this.#attempts.some((a) => !a.finished);
  }

  get attemptCount(): number {
    return this.#attempts.length;
  }

  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Finishes an attempt and keeps what its ending says about the call. */
  recordEnding(attempt: Attempt, ending: Ending, nowMs: number): void {
    attempt.finished = true;
    this.lastEnding = ending;
    if (ending.kind === "may-have-run") {
      this.#mayHaveRun = true;
      if (this.repeat === "keyed") {
        this.#deduplicationEndMs = Math.min(this.#deduplicationEndMs, attempt.sentMs + this.#deduplicationWindowMs);
      }
    } else if (ending.kind === "refused" && ending.retryAfterMs >= 0) {
      this.#notBeforeMsByNode.set(attempt.node, Math.max(this.notBeforeMs(attempt.node), nowMs + ending.retryAfterMs));
    }
  }

  hasTried(node: Node): boolean {
    return this.#attempts.some((a) => a.node === node);
  }

  /** Returns when this node accepts a retry by its Retry-After; negative infinity if it sent none. */
  notBeforeMs(node: Node): number {
    return this.#notBeforeMsByNode.get(node) ?? -Infinity;
  }

  /** The earliest time at which any node accepts a retry; infinity if none sent a Retry-After. */
  get earliestRetryMs(): number {
    return Math.min(...this.#notBeforeMsByNode.values());
  }

  /**
   * Until when an answer is accepted. A retry of a keyed call that may have run must not reach a server that has
   * forgotten its key, however long it is in transit: so its attempts are abandoned at the window's end.
   */
  get answerByMs(): number {
    return Math.min(this.deadlineMs, this.#deduplicationEndMs);
  }

  /** Whether its class allows another attempt. */
  get mayRetry(): boolean {
    return this.repeat !== "unsafe" || !this.#mayHaveRun;
  }
}
