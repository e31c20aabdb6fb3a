/** A whole answer: any status below 500 that is no refusal. Header names in lower case. */
export interface Served {
  readonly kind: "served";
  readonly id: string;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** How often it was sent. */
  readonly attempts: number;
  /** The body as a text in UTF-8. */
  text(): string;
}

/** Refused. Of a keyed or unsafe call: it has not run, and asking again is harmless. */
export interface Refused {
  readonly kind: "refused";
  readonly id: string;
  /** When to ask again, counted from now, if anybody has said. */
  readonly comeBackMs?: number;
  readonly cause: string;
}

/** Failed, and surely has not run. */
export interface NeverRan {
  readonly kind: "never-ran";
  readonly id: string;
  readonly cause: string;
}

/** Failed, and nobody here can know whether it has run. */
export interface MayHaveRun {
  readonly kind: "may-have-run";
  readonly id: string;
  /** Of a keyed call: one sent with it before its window ends has its effect once. */
  readonly key?: string;
  /** When to ask again, counted from now, if a node has said. */
  readonly comeBackMs?: number;
  readonly cause: string;
}

/** Given up by whoever made it, or by the client's end. */
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

/** How a call has ended: one of six. `id` is the field X-Request-Id of all its sendings. A `switch` over `kind` that
 * ends in `unhandled(result)` does not compile while one of them is left out. */
export type Result = Served | Refused | NeverRan | MayHaveRun | Cancelled | Late;

/** The end of a `switch` that has handled everything. */
export function unhandled(nothing: never): never {
  throw new Error(`unhandled: ${JSON.stringify(nothing)}`);
}
