import { Agent, type Dispatcher } from "undici";
import { silent } from "./core/types.js";
import { endingOfError, hasBody, readAll, type Transport } from "./transport.js";

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** The configuration of `NodeTransport`. */
export interface NodeOptions {
  /** Connect timeout in milliseconds; 1,000 by default. */
  readonly connectMs?: number;
  /** Maximum connections to one node; by default bounded only by the client's limit of attempts in flight. */
  readonly connections?: number;
}

/**
 * A transport for Node, based on undici. It can tell whether a connection was established and whether an answer is
 * complete.
 */
export class NodeTransport {
  readonly #agent: Agent;

  constructor(options: NodeOptions = {}) {
    this.#agent = new Agent({
      connect: { timeout: options.connectMs ?? DEFAULT_CONNECT_TIMEOUT_MS }, pipelining: 1, headersTimeout: 0,
      bodyTimeout: 0,
      ...(options.connections === undefined ? {} : { connections: options.connections }),
    });
  }

  /** The transport to pass to the client. */
  readonly transport: Transport = async (sending) => {
    try {
      const url = new URL(sending.url);
      const answer: Dispatcher.ResponseData = await this.#agent.request({
        origin: url.origin, path: url.pathname + url.search, method: sending.method as Dispatcher.HttpMethod,
        headers: { ...sending.headers }, body: sending.body ?? null, signal: sending.signal,
      });
      const body = await readAll(answer.body as AsyncIterable<Uint8Array>, sending.longestAnswer);
      const headers: Record<string, string> = {};
      for (const [name, value] of Object.entries(answer.headers)) {
        headers[name] = Array.isArray(value) ? value.join(", ") : value ?? "";
      }
      if (hasBody(sending.method, answer.statusCode) && headers["content-length"] === undefined
          && headers["transfer-encoding"] === undefined) {
        return silent("may-have-run", "the answer has neither Content-Length nor Transfer-Encoding");
      }
      return { status: answer.statusCode, headers, body };
    } catch (e) {
      return endingOfError(e);
    }
  };

  /** Closes its connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
