/** A complete answer: any status below 500 that is no refusal. Header names in lower case. */
export interface Served {
  readonly kind: "served";
  readonly id: string;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** The number of attempts that were sent. */
  readonly attempts: number;
  /** The body decoded as UTF-8. */
  text(): string;
}

/** Refused. A keyed or unsafe call has not run, and a retry is harmless. */
export interface Refused {
  readonly kind: "refused";
  readonly id: string;
  /** The milliseconds from now after which to retry, if a node sent a Retry-After. */
  readonly comeBackMs?: number;
  readonly cause: string;
}

/** Failed, and certainly has not run. */
export interface NeverRan {
  readonly kind: "never-ran";
  readonly id: string;
  readonly cause: string;
}

/** Failed, and it is unknown whether it has run. */
export interface MayHaveRun {
  readonly kind: "may-have-run";
  readonly id: string;
  /** The key of a keyed call: a call with the same key within its window takes effect only once. */
  readonly key?: string;
  /** The milliseconds from now after which to retry, if a node sent a Retry-After. */
  readonly comeBackMs?: number;
  readonly cause: string;
}

/** Cancelled by its caller, or by closing the client. */
export interface Cancelled {
  readonly kind: "cancelled";
  readonly id: string;
  readonly mayHaveRun: boolean;
}

/** Its deadline has passed. */
export interface Late {
  readonly kind: "late";
  readonly id: string;
  readonly mayHaveRun: boolean;
  readonly key?: string;
}

/**
 * How a call has ended: one of six kinds. `id` is the header X-Request-Id of all its attempts. A `switch` over `kind`
 * that ends in `unhandled(result)` does not compile while a kind is missing.
 */
export type Result = Served | Refused | NeverRan | MayHaveRun | Cancelled | Late;

/** Marks the end of an exhaustive `switch`; throws if it is reached. */
export function unhandled(nothing: never): never {
  throw new Error(`unhandled: ${JSON.stringify(nothing)}`);
}
