import { endingOf } from "./core/answers.js";
import { Caller } from "./core/caller.js";
import { type Settings, settled } from "./core/settings.js";
import type { Action, Ending, Outcome } from "./core/types.js";
import { check, methodOf, type Request } from "./request.js";
import type { Result } from "./result.js";
import { type Answer, fetchTransport, type Transport } from "./transport.js";

/** Is told of calls, for metrics and logs. What it throws is lost. */
export interface Listener {
  /** A request goes out; `attempt` is 0 for the first. */
  sent?(id: string, attempt: number, node: string): void;
  /** An attempt has ended; of one that is given up there is no word. */
  ended?(id: string, attempt: number, node: string, how: Ending): void;
  /** A call is over. */
  over?(result: Result, tookMs: number): void;
}

/** What a client is made of. */
export interface ClientOptions {
  /** Nodes by scheme, host and port: `http://127.0.0.1:8080`. */
  readonly nodes?: readonly string[];
  /** Nodes that are asked before the others while they have room. */
  readonly localNodes?: readonly string[];
  readonly settings?: Partial<Settings>;
  /** The deadline of calls that have none of their own; 10,000 if not said. */
  readonly withinMs?: number;
  /** The longest body of an answer that is taken, in bytes; 16 MiB if not said. */
  readonly longestAnswer?: number;
  /** Takes every 429 and 503 as a node's refusal, as nodes on the platform mean them. */
  readonly plainRefusals?: boolean;
  /** Says with each request whose it is, in X-Org. */
  readonly tenant?: string;
  /** Says with each request what session it is of, in the cookie `key`. Not in browsers, which set cookies themselves. */
  readonly session?: string;
  /** Change requests before they are sent, in this order. */
  readonly intercept?: readonly ((request: Request) => Request)[];
  readonly listener?: Listener;
  /** How bytes travel; the platform's `fetch` if not said. Node processes do better with `vetchpost-client/node`. */
  readonly transport?: Transport;
}

interface Open {
  readonly id: string;
  readonly key: string | undefined;
  readonly request: Request;
  readonly body: Uint8Array | undefined;
  readonly resolve: (result: Result) => void;
  readonly beganMs: number;
  readonly out: Map<number, AbortController>;
  readonly forget: () => void;
  sendings: number;
  answer: Answer | undefined;
}

const MOST_BYTES = 16 * 1024 * 1024;
const WIDE = 16;
const NARROW = 8;
/** Timers of browsers and Node take no longer times. */
const LONGEST_TIMER_MS = 2 ** 31 - 1;

const HEX = Array.from({ length: 256 }, (_, b) => b.toString(16).padStart(2, "0"));
const pool = new Uint8Array(4_096);
let used = pool.length;

/** Random hexadecimal digits of so many bytes; drawn many at a time, since each drawing is dear. */
function random(bytes: number): string {
  if (used + bytes > pool.length) {
    crypto.getRandomValues(pool);
    used = 0;
  }
  let digits = "";
  for (let i = 0; i < bytes; i++) {
    digits += HEX[pool[used++]!]!;
  }
  return digits;
}

function checked(node: string): string {
  const url = URL.canParse(node) ? new URL(node) : undefined;
  if (url === undefined || (url.protocol !== "http:" && url.protocol !== "https:") || url.origin !== node) {
    throw new TypeError(`'${node}' is no node, as http://127.0.0.1:8080 is`);
  }
  return node;
}

/**
 * Calls nodes over HTTP. Decisions are those of `Caller`; the bytes are a transport's. One for a process is enough.
 *
 *     const client = new Client({ nodes: ["http://127.0.0.1:8080"] });
 *     const result = await client.send({ repeat: "safe", target: "/albums/7" });
 */
export class Client {
  readonly #options: ClientOptions;
  readonly #caller: Caller;
  readonly #transport: Transport;
  readonly #began = performance.now();
  readonly #open = new Map<number, Open>();
  #numbered = 0;
  #closed = false;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #wakeMs = Infinity;

  constructor(options: ClientOptions) {
    this.#options = options;
    this.#transport = options.transport ?? fetchTransport;
    this.#caller = new Caller(settled(options.settings), Math.random);
    for (const node of options.localNodes ?? []) {
      this.#caller.addNode(0, checked(node), true);
    }
    for (const node of options.nodes ?? []) {
      this.#caller.addNode(0, checked(node), false);
    }
  }

  /** A node to send to from now on. */
  addNode(node: string): void {
    this.#perform(this.#caller.addNode(this.#nowMs(), checked(node), false));
  }

  /** A node that gets no more calls; those it has go on. */
  removeNode(node: string): void {
    this.#perform(this.#caller.removeNode(this.#nowMs(), node));
  }

  /**
   * Makes a call. It ends with a result and never rejects but for a request that is none (TypeError). Aborting
   * `signal` gives the call up, also at the node.
   */
  async send(given: Request, signal?: AbortSignal): Promise<Result> {
    const request = (this.#options.intercept ?? []).reduce((last, change) => change(last), given);
    check(request);
    const id = random(WIDE);
    if (this.#closed) {
      return { kind: "never-ran", id, cause: "the client is closed" };
    }
    if (signal?.aborted === true) {
      return { kind: "cancelled", id, mayHaveRun: false };
    }
    const body = typeof request.body === "string" ? new TextEncoder().encode(request.body) : request.body?.slice();
    const number = ++this.#numbered;
    return new Promise<Result>((resolve) => {
      const cancel = (): void => this.#perform(this.#caller.cancel(this.#nowMs(), number));
      signal?.addEventListener("abort", cancel);
      this.#open.set(number, { id, request, body, resolve, beganMs: performance.now(), out: new Map(), sendings: 0,
        key: request.repeat === "keyed" ? request.key ?? random(WIDE) : undefined, answer: undefined,
        forget: () => signal?.removeEventListener("abort", cancel) });
      this.#perform(this.#caller.begin(this.#nowMs(), number, request.repeat,
        Math.floor(request.withinMs ?? this.#options.withinMs ?? 10_000),
        request.repeat === "keyed" ? Math.floor(request.windowMs) : 0));
    });
  }

  /**
   * Makes a call for each request, so many at a time, and gives the results as they come, each with its request.
   * Leaving the loop gives up those that are out.
   */
  async *sendAll(requests: Iterable<Request> | AsyncIterable<Request>, atOnce = 64):
      AsyncGenerator<{ readonly request: Request; readonly result: Result }, void> {
    const giveUp = new AbortController();
    const out = new Map<number, Promise<{ at: number; request: Request; result: Result }>>();
    let numbered = 0;
    try {
      for await (const request of requests) {
        const at = numbered++;
        out.set(at, this.send(request, giveUp.signal).then((result) => ({ at, request, result })));
        if (out.size >= atOnce) {
          const done = await Promise.race(out.values());
          out.delete(done.at);
          yield { request: done.request, result: done.result };
        }
      }
      while (out.size > 0) {
        const done = await Promise.race(out.values());
        out.delete(done.at);
        yield { request: done.request, result: done.result };
      }
    } finally {
      giveUp.abort();
    }
  }

  /** Ends all calls that are not over, as cancelled. */
  close(): void {
    this.#closed = true;
    for (const number of [...this.#open.keys()]) {
      this.#perform(this.#caller.cancel(this.#nowMs(), number));
    }
  }

  #nowMs(): number {
    return Math.floor(performance.now() - this.#began);
  }

  #perform(actions: Action[]): void {
    for (const action of actions) {
      const call = this.#open.get(action.call)!;
      if (action.kind === "send") {
        void this.#send(call, action);
      } else if (action.kind === "abandon") {
        const out = call.out.get(action.attempt);
        call.out.delete(action.attempt);
        out?.abort();
      } else {
        this.#open.delete(action.call);
        this.#end(call, action.outcome);
      }
    }
    const next = this.#caller.nextWakeMs();
    if (next < this.#wakeMs) {
      // One that comes too early only looks again; so a timer is not set anew for each call that ends.
      clearTimeout(this.#timer);
      this.#wakeMs = next;
      const wait = Math.ceil(next - (performance.now() - this.#began));
      this.#timer = setTimeout(() => {
        this.#wakeMs = Infinity;
        this.#perform(this.#caller.wake(this.#nowMs()));
      }, Math.min(LONGEST_TIMER_MS, Math.max(0, wait)));
    } else if (this.#open.size === 0) {
      // Nothing keeps a process alive whose calls are over.
      clearTimeout(this.#timer);
      this.#wakeMs = Infinity;
    }
  }

  async #send(call: Open, action: Action & { readonly kind: "send" }): Promise<void> {
    call.sendings++;
    const control = new AbortController();
    call.out.set(action.attempt, control);
    this.#tell(() => this.#options.listener?.sent?.(call.id, action.attempt, action.node));
    const got = await this.#transport({
      url: action.node + call.request.target, method: methodOf(call.request), headers: this.#headers(call, action),
      body: call.body, longestAnswer: this.#options.longestAnswer ?? MOST_BYTES, signal: control.signal,
    });
    if (!call.out.delete(action.attempt)) {
      return; // Given up meanwhile.
    }
    let how: Ending;
    if ("status" in got) {
      how = endingOf(got.status, got.headers["vetchpost-ran"] ?? null, got.headers["retry-after"] ?? null,
        got.headers["date"] ?? null, Date.now(), this.#options.plainRefusals ?? false);
      call.answer = how.kind === "served" ? got : call.answer;
    } else {
      how = got;
    }
    this.#tell(() => this.#options.listener?.ended?.(call.id, action.attempt, action.node, how));
    this.#perform(this.#caller.ended(this.#nowMs(), action.call, action.attempt, how));
  }

  #headers(call: Open, action: Action & { readonly kind: "send" }): Record<string, string> {
    const headers: Record<string, string> = {};
    if (this.#options.session !== undefined) {
      headers["cookie"] = `key=${this.#options.session}`;
    }
    for (const [name, value] of Object.entries(call.request.headers ?? {})) {
      headers[name.toLowerCase()] = value;
    }
    headers["x-request-id"] = call.id;
    headers["x-txn"] = random(NARROW);
    headers["x-remaining-ms"] = String(action.remainingMs);
    if (this.#options.tenant !== undefined) {
      headers["x-org"] = this.#options.tenant;
    }
    if (call.key !== undefined) {
      headers["idempotency-key"] = call.key;
    }
    if (action.resent) {
      headers["x-resent"] = "1";
    }
    return headers;
  }

  #end(call: Open, how: Outcome): void {
    call.forget();
    const result = this.#result(call, how);
    this.#tell(() => this.#options.listener?.over?.(result, performance.now() - call.beganMs));
    call.resolve(result);
  }

  #result(call: Open, how: Outcome): Result {
    const { id } = call;
    const key = call.key === undefined ? {} : { key: call.key };
    const comeBack = how.comeBackMs < 0 ? {} : { comeBackMs: how.comeBackMs };
    switch (how.kind) {
      case "served": {
        const { status, headers, body } = call.answer!;
        return { kind: "served", id, status, headers, body, attempts: call.sendings,
          text: () => new TextDecoder().decode(body) };
      }
      case "refused":
        return { kind: "refused", id, cause: how.cause, ...comeBack };
      case "never-ran":
        return { kind: "never-ran", id, cause: how.cause };
      case "may-have-run":
        return { kind: "may-have-run", id, cause: how.cause, ...key, ...comeBack };
      case "cancelled":
        return { kind: "cancelled", id, mayHaveRun: how.mayHaveRun };
      case "late":
        return { kind: "late", id, mayHaveRun: how.mayHaveRun, ...key };
    }
  }

  #tell(what: () => void): void {
    try {
      what();
    } catch {
      // A listener's fault is no call's.
    }
  }
}
