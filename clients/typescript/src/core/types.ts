/** The four endings of an attempt: served; refused, so that asking again is harmless; surely never ran; may have
 * run, or may yet. */
export type EndingKind = "served" | "refused" | "never-ran" | "may-have-run";

/** How one attempt has ended. */
export interface Ending {
  readonly kind: EndingKind;
  /** Whether the node has answered, whatever it said: then it is there. */
  readonly answered: boolean;
  /** Of a refusal: when the node takes it, counted from now; -1 if it does not say. */
  readonly retryAfterMs: number;
  /** A word or two for people. */
  readonly cause: string;
}

/** The six endings of a call. */
export type OutcomeKind = "served" | "refused" | "never-ran" | "may-have-run" | "cancelled" | "late";

/** How a whole call has ended. */
export interface Outcome {
  readonly kind: OutcomeKind;
  /** Whether some attempt of it may have run, or may yet. */
  readonly mayHaveRun: boolean;
  /** Of a refusal: when to ask again, counted from now; -1 if nobody has said. */
  readonly comeBackMs: number;
  /** Of a served call: the number of the attempt that was answered; else -1. */
  readonly attempt: number;
  readonly cause: string;
}

/** What is to be done, in the order given. An abandoned attempt's connection is ended, and its ending not told. */
export type Action =
  | { readonly kind: "send"; readonly call: number; readonly attempt: number; readonly node: string;
      readonly remainingMs: number; readonly resent: boolean }
  | { readonly kind: "abandon"; readonly call: number; readonly attempt: number }
  | { readonly kind: "end"; readonly call: number; readonly outcome: Outcome };

/** An ending without an answer: of the connection, or of the caller's patience. */
export function silent(kind: EndingKind, cause: string): Ending {
  return { kind, answered: false, retryAfterMs: -1, cause };
}
