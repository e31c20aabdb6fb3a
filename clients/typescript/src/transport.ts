import { type Ending, silent } from "./core/types.js";

/** A request as it goes out. */
export interface Sending {
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  readonly longestAnswer: number;
  /** Aborted when the attempt is given up: its connection ends then. */
  readonly signal: AbortSignal;
}

/** A whole answer; header names in lower case. */
export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Carries one attempt: a whole answer, or an ending without one. Must not send anything twice, and rejects never. */
export type Transport = (sending: Sending) => Promise<Answer | Ending>;

/** Whether an answer has a body, so that its length has to be known. */
export function hasBody(method: string, status: number): boolean {
  return method !== "HEAD" && status !== 204 && status !== 304;
}

/** An answer of more bytes than are taken. */
export class TooLong extends Error {
  constructor(most: number) {
    super(`an answer of more than ${most} bytes`);
  }
}

/** All of a body, up to a bound.
 * @throws TooLong if it has more */
export async function readAll(body: AsyncIterable<Uint8Array>, most: number): Promise<Uint8Array> {
  const parts: Uint8Array[] = [];
  let length = 0;
  for await (const part of body) {
    length += part.byteLength;
    if (length > most) {
      throw new TooLong(most);
    }
    parts.push(part);
  }
  const all = new Uint8Array(length);
  let at = 0;
  for (const part of parts) {
    all.set(part, at);
    at += part.byteLength;
  }
  return all;
}

/** What went wrong, for people. */
export function wordsOf(e: unknown): string {
  const cause = e instanceof Error && e.cause instanceof Error ? e.cause : e;
  return cause instanceof Error ? cause.message || cause.name : String(cause);
}

/** What an error of a connection is called, where the platform says so. */
export function codeOf(e: unknown): string | undefined {
  const cause = e instanceof Error && e.cause !== undefined ? e.cause : e;
  return typeof cause === "object" && cause !== null && "code" in cause ? String(cause.code) : undefined;
}

const NEVER_SENT = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "ENOTFOUND", "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT"]);

/** The ending of an attempt by an error. Only those of connecting say that nothing was sent; a browser names none. */
export function endingOfError(e: unknown): Ending {
  const never = NEVER_SENT.has(codeOf(e) ?? "");
  return silent(never ? "never-ran" : "may-have-run", wordsOf(e));
}

async function* chunks(stream: ReadableStream<Uint8Array>): AsyncGenerator<Uint8Array> {
  const reader = stream.getReader();
  try {
    for (let next = await reader.read(); !next.done; next = await reader.read()) {
      yield next.value;
    }
  } finally {
    await reader.cancel().catch(() => undefined);
  }
}

/** The platform's `fetch`: browsers, Node and others. It tells less than `node.ts`'s: no browser says whether a
 * connection came up, or how an answer's end was told. */
export const fetchTransport: Transport = async (sending) => {
  try {
    const response = await fetch(sending.url, {
      method: sending.method, headers: sending.headers, redirect: "manual", signal: sending.signal,
      ...(sending.body === undefined ? {} : { body: sending.body as BodyInit }),
    });
    const body = response.body === null ? new Uint8Array(0)
      : await readAll(chunks(response.body), sending.longestAnswer);
    return { status: response.status, headers: Object.fromEntries(response.headers), body };
  } catch (e) {
    return endingOfError(e);
  }
};
