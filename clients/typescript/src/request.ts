import type { Repeat } from "./core/settings.js";

/** What is asked of the nodes, whatever its class. */
export interface Common {
  /** Path and query, from `/` on. */
  readonly target: string;
  /** The deadline of the whole call; the client's if not said. */
  readonly withinMs?: number;
  /** Further fields. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Held until the call is over, so that it can be sent again. */
  readonly body?: string | Uint8Array;
}

/** A call, by what a second effect of it would cost. */
export type Request =
  /** Has no effect: may be repeated after any failure, and sent to two nodes. GET if no method is said. */
  | (Common & { readonly repeat: "safe"; readonly method?: string })
  /** Servers drop repeats of its key for `windowMs`; a fresh key if none is said. POST if no method is said. */
  | (Common & { readonly repeat: "keyed"; readonly windowMs: number; readonly key?: string;
      readonly method?: string })
  /** Is never sent again once it may have run. POST if no method is said. */
  | (Common & { readonly repeat: "unsafe"; readonly method?: string });

const TOKEN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;
const TEXT = /^[\x21-\x7e]([\x20-\x7e\t]*[\x21-\x7e])?$/;
const TARGET = /^\/(?!\/)([A-Za-z0-9\-._~!$&'()*+,;=:@/?]|%[0-9A-Fa-f]{2})*$/;
const KEY = /^[0-9A-Za-z_-]{1,128}$/;
const CLASSES: readonly Repeat[] = ["safe", "keyed", "unsafe"];
/** Fields that the client sets itself, or that belong to a connection. */
const OWN = new Set(["x-txn", "x-request-id", "x-remaining-ms", "x-resent", "x-org", "idempotency-key", "connection",
  "content-length", "expect", "host", "transfer-encoding", "upgrade"]);

/** The method that goes out. */
export function methodOf(request: Request): string {
  return request.method ?? (request.repeat === "safe" ? "GET" : "POST");
}

/** Whether it goes out as it stands: a client's slip must not look like a node's failure. */
function isTarget(target: string): boolean {
  if (!TARGET.test(target)) {
    return false;
  }
  const url = new URL(`http://node${target}`);
  return url.pathname + url.search === target;
}

/** Says what is wrong with a request, before anything is sent.
 * @throws TypeError with the value and what would pass */
export function check(request: Request): void {
  if (!CLASSES.includes(request.repeat)) {
    throw new TypeError(`repeat is '${String(request.repeat)}', not safe, keyed or unsafe`);
  }
  if (!TOKEN.test(methodOf(request))) {
    throw new TypeError(`'${methodOf(request)}' is no method`);
  }
  if (!isTarget(request.target)) {
    throw new TypeError(`'${request.target}' is no path that begins with /, with what is special in it escaped`);
  }
  if (request.withinMs !== undefined && !(request.withinMs >= 1)) {
    throw new TypeError("a deadline is at least a millisecond");
  }
  if (request.repeat === "keyed") {
    if (!(request.windowMs > 0)) {
      throw new TypeError("a key's window is longer than 0");
    }
    if (request.key !== undefined && !KEY.test(request.key)) {
      throw new TypeError("a key has 1 to 128 letters, digits, - and _");
    }
  }
  for (const [name, value] of Object.entries(request.headers ?? {})) {
    if (!TOKEN.test(name) || !TEXT.test(value)) {
      throw new TypeError(`'${name}: ${value}' is no header field`);
    }
    if (OWN.has(name.toLowerCase())) {
      throw new TypeError(`the client sets '${name}' itself`);
    }
  }
}
