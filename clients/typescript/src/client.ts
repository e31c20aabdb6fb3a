import { endingOfAnswer } from "./core/answers.js";
import { Caller } from "./core/caller.js";
import { type Settings, resolveSettings } from "./core/settings.js";
import type { Action, Ending, Outcome } from "./core/types.js";
import { check, methodOf, type Request } from "./request.js";
import type { Result } from "./result.js";
import { type Answer, fetchTransport, type Transport } from "./transport.js";

/** Observes calls, for metrics and logs. Exceptions that it throws are discarded. */
export interface Listener {
  /** An attempt is sent; `attempt` is 0 for the first. */
  sent?(id: string, attempt: number, node: string): void;
  /** An attempt has ended; not called for an abandoned one. */
  ended?(id: string, attempt: number, node: string, how: Ending): void;
  /** A call is over, after `tookMs` milliseconds. */
  over?(result: Result, tookMs: number): void;
}

/** The configuration of a client. */
export interface ClientOptions {
  /** Node URLs of scheme, host and port only: `http://127.0.0.1:8080`. */
  readonly nodes?: readonly string[];
  /** Nodes that are preferred to the others while they are available. */
  readonly localNodes?: readonly string[];
  readonly settings?: Partial<Settings>;
  /** The default deadline of calls, in milliseconds; 10,000 by default. */
  readonly withinMs?: number;
  /** The maximum body of an accepted answer, in bytes; 16 MiB by default. */
  readonly longestAnswer?: number;
  /** Treats every 429 and 503 as a node's refusal, as nodes on the platform mean them. */
  readonly plainRefusals?: boolean;
  /** The tenant, sent with each request in X-Org. */
  readonly tenant?: string;
  /** The session, sent with each request in the cookie `key`. Not in browsers, which set cookies themselves. */
  readonly session?: string;
  /** Interceptors that change requests before they are sent, applied in this order. */
  readonly intercept?: readonly ((request: Request) => Request)[];
  readonly listener?: Listener;
  /**
   * The transport; the platform's `fetch` by default. `vetchpost-client/node` distinguishes more errors and suits Node
   * processes better.
   */
  readonly transport?: Transport;
}

/** A call that is not over. */
interface OpenCall {
  readonly id: string;
  readonly key: string | undefined;
  readonly request: Request;
  readonly body: Uint8Array | undefined;
  readonly resolve: (result: Result) => void;
  readonly startedMs: number;
  readonly inFlight: Map<number, AbortController>;
  readonly removeAbortListener: () => void;
  attemptCount: number;
  answer: Answer | undefined;
}

const DEFAULT_DEADLINE_MS = 10_000;
const DEFAULT_MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const ID_BYTES = 16;
const ATTEMPT_ID_BYTES = 8;
/** Longer timers overflow in browsers and Node. */
const MAX_TIMER_MS = 2 ** 31 - 1;

const HEX = Array.from({ length: 256 }, (_, b) => b.toString(16).padStart(2, "0"));
const randomBytes = new Uint8Array(4_096);
let usedRandomBytes = randomBytes.length;

/** Returns random bytes as hexadecimal digits. They are generated in batches, since each generator call is costly. */
function randomHex(bytes: number): string {
  if (usedRandomBytes + bytes > randomBytes.length) {
    crypto.getRandomValues(randomBytes);
    usedRandomBytes = 0;
  }
  let digits = "";
  for (let i = 0; i < bytes; i++) {
    digits += HEX[randomBytes[usedRandomBytes++]!]!;
  }
  return digits;
}

/** Returns the node's URL. @throws TypeError unless it is an http or https origin */
function requireNodeUrl(node: string): string {
  const url = URL.canParse(node) ? new URL(node) : undefined;
  if (url === undefined || (url.protocol !== "http:" && url.protocol !== "https:") || url.origin !== node) {
    throw new TypeError(`'${node}' is not a node URL of scheme, host and port, such as http://127.0.0.1:8080`);
  }
  return node;
}

/**
 * A client that calls nodes over HTTP. `Caller` makes its decisions and a transport carries its requests. One client
 * per process is enough.
 *
 *     const client = new Client({ nodes: ["http://127.0.0.1:8080"] });
 *     const result = await client.send({ repeat: "safe", target: "/albums/7" });
 */
export class Client {
  readonly #options: ClientOptions;
  readonly #caller: Caller;
  readonly #transport: Transport;
  readonly #startedMs = performance.now();
  readonly #openCalls = new Map<number, OpenCall>();
  #lastNumber = 0;
  #closed = false;
  #wakeTimer: ReturnType<typeof setTimeout> | undefined;
  #wakeAtMs = Infinity;

  constructor(options: ClientOptions) {
    this.#options = options;
    this.#transport = options.transport ?? fetchTransport;
    this.#caller = new Caller(resolveSettings(options.settings), Math.random);
    for (const node of options.localNodes ?? []) {
      this.#caller.addNode(0, requireNodeUrl(node), true);
    }
    for (const node of options.nodes ?? []) {
      this.#caller.addNode(0, requireNodeUrl(node), false);
    }
  }

  /** Adds a node to send to from now on. @throws TypeError unless it is an http or https origin */
  addNode(node: string): void {
    this.#perform(this.#caller.addNode(this.#nowMs(), requireNodeUrl(node), false));
  }

  /** Removes a node: it gets no new attempts, and its attempts in flight continue. */
  removeNode(node: string): void {
    this.#perform(this.#caller.removeNode(this.#nowMs(), node));
  }

  /**
   * Makes a call and resolves to its result. It rejects only for an invalid request, with a TypeError.
   *
   * @param signal aborting it cancels the call and closes the connections of its attempts
   */
  async send(request: Request, signal?: AbortSignal): Promise<Result> {
    const intercepted = (this.#options.intercept ?? []).reduce((last, change) => change(last), request);
    check(intercepted);
    const id = randomHex(ID_BYTES);
    if (this.#closed) {
      return { kind: "never-ran", id, cause: "the client is closed" };
    }
    if (signal?.aborted === true) {
      return { kind: "cancelled", id, mayHaveRun: false };
    }
    const body = typeof intercepted.body === "string"
      ? new TextEncoder().encode(intercepted.body) : intercepted.body?.slice();
    const number = ++this.#lastNumber;
    return new Promise<Result>((resolve) => {
      const cancel = (): void => this.#perform(this.#caller.cancel(this.#nowMs(), number));
      signal?.addEventListener("abort", cancel);
      this.#openCalls.set(number, { id, request: intercepted, body, resolve, startedMs: performance.now(),
        inFlight: new Map(), attemptCount: 0,
        key: intercepted.repeat === "keyed" ? intercepted.key ?? randomHex(ID_BYTES) : undefined, answer: undefined,
        removeAbortListener: () => signal?.removeEventListener("abort", cancel) });
      this.#perform(this.#caller.begin(this.#nowMs(), number, intercepted.repeat,
        Math.floor(intercepted.withinMs ?? this.#options.withinMs ?? DEFAULT_DEADLINE_MS),
        intercepted.repeat === "keyed" ? Math.floor(intercepted.windowMs) : 0));
    });
  }

  /**
   * Makes a call for each request and yields the results in the order in which they end, each with its request. Leaving
   * the loop cancels the calls that are in flight.
   *
   * @param atOnce the maximum number of calls in flight; 64 by default
   */
  async *sendAll(requests: Iterable<Request> | AsyncIterable<Request>, atOnce = 64):
      AsyncGenerator<{ readonly request: Request; readonly result: Result }, void> {
    const abortAll = new AbortController();
    const inFlight = new Map<number, Promise<{ index: number; request: Request; result: Result }>>();
    let nextIndex = 0;
    try {
      for await (const request of requests) {
        const index = nextIndex++;
        inFlight.set(index, this.send(request, abortAll.signal).then((result) => ({ index, request, result })));
        if (inFlight.size >= atOnce) {
          const ended = await Promise.race(inFlight.values());
          inFlight.delete(ended.index);
          yield { request: ended.request, result: ended.result };
        }
      }
      while (inFlight.size > 0) {
        const ended = await Promise.race(inFlight.values());
        inFlight.delete(ended.index);
        yield { request: ended.request, result: ended.result };
      }
    } finally {
      abortAll.abort();
    }
  }

  /** Cancels all calls that are not over. Later calls end as never run. */
  close(): void {
    this.#closed = true;
    for (const number of [...this.#openCalls.keys()]) {
      this.#perform(this.#caller.cancel(this.#nowMs(), number));
    }
  }

  #nowMs(): number {
    return Math.floor(performance.now() - this.#startedMs);
  }

  #perform(actions: Action[]): void {
    for (const action of actions) {
      const call = this.#openCalls.get(action.call)!;
      if (action.kind === "send") {
        void this.#send(call, action);
      } else if (action.kind === "abandon") {
        const abort = call.inFlight.get(action.attempt);
        call.inFlight.delete(action.attempt);
        abort?.abort();
      } else {
        this.#openCalls.delete(action.call);
        this.#end(call, action.outcome);
      }
    }
    const next = this.#caller.nextWakeMs();
    if (next < this.#wakeAtMs) {
      // A timer that fires too early only checks again, so it is not rescheduled for each call that ends.
      clearTimeout(this.#wakeTimer);
      this.#wakeAtMs = next;
      const wait = Math.ceil(next - (performance.now() - this.#startedMs));
      this.#wakeTimer = setTimeout(() => {
        this.#wakeAtMs = Infinity;
        this.#perform(this.#caller.wake(this.#nowMs()));
      }, Math.min(MAX_TIMER_MS, Math.max(0, wait)));
    } else if (this.#openCalls.size === 0) {
      // No timer keeps a process alive whose calls are over.
      clearTimeout(this.#wakeTimer);
      this.#wakeAtMs = Infinity;
    }
  }

  async #send(call: OpenCall, action: Action & { readonly kind: "send" }): Promise<void> {
    call.attemptCount++;
    const abort = new AbortController();
    call.inFlight.set(action.attempt, abort);
    this.#notifyListener(() => this.#options.listener?.sent?.(call.id, action.attempt, action.node));
    const received = await this.#transport({
      url: action.node + call.request.target, method: methodOf(call.request), headers: this.#headers(call, action),
      body: call.body, longestAnswer: this.#options.longestAnswer ?? DEFAULT_MAX_ANSWER_BYTES, signal: abort.signal,
    });
    if (!call.inFlight.delete(action.attempt)) {
      return; // Abandoned meanwhile.
    }
    let ending: Ending;
    if ("status" in received) {
      ending = endingOfAnswer(received.status, received.headers["vetchpost-ran"] ?? null,
        received.headers["retry-after"] ?? null, received.headers["date"] ?? null, Date.now(),
        this.#options.plainRefusals ?? false);
      call.answer = ending.kind === "served" ? received : call.answer;
    } else {
      ending = received;
    }
    this.#notifyListener(() => this.#options.listener?.ended?.(call.id, action.attempt, action.node, ending));
    this.#perform(this.#caller.ended(this.#nowMs(), action.call, action.attempt, ending));
  }

  #headers(call: OpenCall, action: Action & { readonly kind: "send" }): Record<string, string> {
    const headers: Record<string, string> = {};
    if (this.#options.session !== undefined) {
      headers["cookie"] = `key=${this.#options.session}`;
    }
    for (const [name, value] of Object.entries(call.request.headers ?? {})) {
      headers[name.toLowerCase()] = value;
    }
    headers["x-request-id"] = call.id;
    headers["x-txn"] = randomHex(ATTEMPT_ID_BYTES);
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

  #end(call: OpenCall, outcome: Outcome): void {
    call.removeAbortListener();
    const result = this.#result(call, outcome);
    this.#notifyListener(() => this.#options.listener?.over?.(result, performance.now() - call.startedMs));
    call.resolve(result);
  }

  #result(call: OpenCall, outcome: Outcome): Result {
    const { id } = call;
    const key = call.key === undefined ? {} : { key: call.key };
    const comeBack = outcome.comeBackMs < 0 ? {} : { comeBackMs: outcome.comeBackMs };
    switch (outcome.kind) {
      case "served": {
        const { status, headers, body } = call.answer!;
        return { kind: "served", id, status, headers, body, attempts: call.attemptCount,
          text: () => new TextDecoder().decode(body) };
      }
      case "refused":
        return { kind: "refused", id, cause: outcome.cause, ...comeBack };
      case "never-ran":
        return { kind: "never-ran", id, cause: outcome.cause };
      case "may-have-run":
        return { kind: "may-have-run", id, cause: outcome.cause, ...key, ...comeBack };
      case "cancelled":
        return { kind: "cancelled", id, mayHaveRun: outcome.mayHaveRun };
      case "late":
        return { kind: "late", id, mayHaveRun: outcome.mayHaveRun, ...key };
    }
  }

  #notifyListener(notify: () => void): void {
    try {
      notify();
    } catch {
      // An error of the listener must not affect the call.
    }
  }
}
