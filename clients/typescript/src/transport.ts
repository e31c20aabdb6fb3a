import { type Ending, silent } from "./core/types.js";

/** One attempt as it is sent. */
export interface Sending {
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  /** The maximum body of an accepted answer, in bytes. */
  readonly longestAnswer: number;
  /** Aborted when the attempt is abandoned; the transport then closes its connection. */
  readonly signal: AbortSignal;
}

/** A complete answer; header names in lower case. */
export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/**
 * Sends one attempt and resolves to its complete answer, or to an ending without one. It must not send anything twice
 * and must never reject.
 */
export type Transport = (sending: Sending) => Promise<Answer | Ending>;

/** Whether an answer to this method and of this status has a body, whose length must then be known. */
export function hasBody(method: string, status: number): boolean {
  return method !== "HEAD" && status !== 204 && status !== 304;
}

/** Thrown for an answer with more bytes than are accepted. */
export class TooLong extends Error {
  constructor(maxBytes: number) {
    super(`the answer has more than ${maxBytes} bytes`);
  }
}

/** Reads a body of at most `maxBytes`.
 * @throws TooLong if it is longer */
export async function readAll(body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<Uint8Array> {
  const chunks: Uint8Array[] = [];
  let length = 0;
  for await (const chunk of body) {
    length += chunk.byteLength;
    if (length > maxBytes) {
      throw new TooLong(maxBytes);
    }
    chunks.push(chunk);
  }
  const joined = new Uint8Array(length);
  let offset = 0;
  for (const chunk of chunks) {
    joined.set(chunk, offset);
    offset += chunk.byteLength;
  }
  return joined;
}

/** Returns an error's message, or that of its cause. */
export function errorMessageOf(e: unknown): string {
  const cause = e instanceof Error && e.cause instanceof Error ? e.cause : e;
  return cause instanceof Error ? cause.message || cause.name : String(cause);
}

/** Returns the code of a connection error or of its cause, if the platform gives one. */
export function errorCodeOf(e: unknown): string | undefined {
  const cause = e instanceof Error && e.cause !== undefined ? e.cause : e;
  return typeof cause === "object" && cause !== null && "code" in cause ? String(cause.code) : undefined;
}

const NEVER_SENT = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "ENOTFOUND", "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT"]);

/**
 * Returns the ending of an attempt that failed with an error. Only connect errors show that nothing was sent; browsers
 * give no codes, so there it may always have run.
 */
export function endingOfError(e: unknown): Ending {
  const neverSent = NEVER_SENT.has(errorCodeOf(e) ?? "");
  return silent(neverSent ? "never-ran" : "may-have-run", errorMessageOf(e));
}

async function* readChunks(stream: ReadableStream<Uint8Array>): AsyncGenerator<Uint8Array> {
  const reader = stream.getReader();
  try {
    for (let next = await reader.read(); !next.done; next = await reader.read()) {
      yield next.value;
    }
  } finally {
    await reader.cancel().catch(() => undefined);
  }
}

/**
 * A transport for browsers, Node and others, based on the platform's `fetch`. It knows less than the one of `node.ts`:
 * no browser shows whether a connection was established, or how the end of an answer was marked.
 */
export const fetchTransport: Transport = async (sending) => {
  try {
    const response = await fetch(sending.url, {
      method: sending.method, headers: sending.headers, redirect: "manual", signal: sending.signal,
      ...(sending.body === undefined ? {} : { body: sending.body as BodyInit }),
    });
    const body = response.body === null ? new Uint8Array(0)
      : await readAll(readChunks(response.body), sending.longestAnswer);
    return { status: response.status, headers: Object.fromEntries(response.headers), body };
  } catch (e) {
    return endingOfError(e);
  }
};
