import { Agent, type Dispatcher } from "undici";
import { silent } from "./core/types.js";
import { endingOfError, hasBody, readAll, type Transport } from "./transport.js";

/** How a Node process connects. */
export interface NodeOptions {
  /** A connection that is not up by then has failed; 1 s if not said. */
  readonly connectMs?: number;
  /** Most connections to one node; no bound of its own if not said: the client's limit bounds them. */
  readonly connections?: number;
}

/** A transport for Node, by undici: it knows whether a connection came up and whether an answer is whole. */
export class NodeTransport {
  readonly #agent: Agent;

  constructor(options: NodeOptions = {}) {
    this.#agent = new Agent({
      connect: { timeout: options.connectMs ?? 1_000 }, pipelining: 1, headersTimeout: 0, bodyTimeout: 0,
      ...(options.connections === undefined ? {} : { connections: options.connections }),
    });
  }

  /** To be given to the client. */
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
        return silent("may-have-run", "an answer that does not say how long it is");
      }
      return { status: answer.statusCode, headers, body };
    } catch (e) {
      return endingOfError(e);
    }
  };

  /** Ends its connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
