/**
 * The four kinds of ending of an attempt: a complete answer; refused, so that a retry is harmless; certainly has not
 * run; may have run, or may still run.
 */
export type EndingKind = "served" | "refused" | "never-ran" | "may-have-run";

/** How one attempt has ended. */
export interface Ending {
  readonly kind: EndingKind;
  /** Whether the node has answered at all, which shows that it is reachable. */
  readonly answered: boolean;
  /** Of a refusal: the milliseconds from now after which the node accepts a retry; -1 if not given. */
  readonly retryAfterMs: number;
  /** A short description for logs and messages. */
  readonly cause: string;
}

/** The six ways in which a call ends. */
export type OutcomeKind = "served" | "refused" | "never-ran" | "may-have-run" | "cancelled" | "late";

/** How a whole call has ended. */
export interface Outcome {
  readonly kind: OutcomeKind;
  /** Whether any of its attempts may have run, or may still run. */
  readonly mayHaveRun: boolean;
  /** The milliseconds from now after which to retry, by the nodes' Retry-After; -1 if none sent one. */
  readonly comeBackMs: number;
  /** Of a served call: the number of the attempt that was answered, from 0; else -1. */
  readonly attempt: number;
  readonly cause: string;
}

/**
 * An instruction of `Caller` to its client; a list of them is performed in order. The connection of an abandoned
 * attempt is closed, and its ending is not reported.
 */
export type Action =
  | { readonly kind: "send"; readonly call: number; readonly attempt: number; readonly node: string;
      readonly remainingMs: number; readonly resent: boolean }
  | { readonly kind: "abandon"; readonly call: number; readonly attempt: number }
  | { readonly kind: "end"; readonly call: number; readonly outcome: Outcome };

/** Returns an ending without an answer: the connection failed or a timeout passed. */
export function silent(kind: EndingKind, cause: string): Ending {
  return { kind, answered: false, retryAfterMs: -1, cause };
}
