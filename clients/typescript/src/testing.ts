import { createServer, type Server, type Socket } from "node:net";

/** An action on a request, run once its connection is accepted, its head is read, or all of it is read. */
export interface Play {
  readonly moment: "accepted" | "head-read" | "read";
  /** Runs the action. The connection stays open afterwards unless the action closes it. */
  on(socket: Socket): void;
}

/** A request as received; header names in lower case. */
export interface Seen {
  readonly method: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

const MAX_REQUEST_LENGTH = 16 * 1024 * 1024;

/** Writes these bytes and keeps the connection open. */
export function raw(text: string): Play {
  return { moment: "read", on: (socket) => void socket.write(text) };
}

/** Answers with this status and body; `fields` are further headers, each `Name: value`. */
export function answers(status: number, body = "", fields: readonly string[] = []): Play {
  const head = [`HTTP/1.1 ${status} -`, `Content-Length: ${Buffer.byteLength(body)}`, ...fields];
  return raw(`${head.join("\r\n")}\r\n\r\n${body}`);
}

/** Refuses as a node does, with a Retry-After in seconds. */
export function refuses(afterSeconds: number): Play {
  return answers(503, "refused", ["Vetchpost-Ran: no", `Retry-After: ${afterSeconds}`]);
}

/** Keeps the connection open and writes nothing. */
export function silent(): Play {
  return { moment: "read", on: () => undefined };
}

/** Closes the connection at this moment. */
export function closes(moment: Play["moment"]): Play {
  return { moment, on: (socket) => void socket.destroy() };
}

/** Starts an answer of `length` bytes, writes half of them and closes the connection. */
export function cuts(length: number): Play {
  return { moment: "read", on: (socket) => void socket.end(
    `HTTP/1.1 200 -\r\nContent-Length: ${length}\r\n\r\n${"x".repeat(Math.floor(length / 2))}`) };
}

/** Writes a beginning, and then repeats a text until the client closes the connection. */
export function floods(beginning: string, repeated: string): Play {
  const batch = repeated.repeat(1 + Math.floor(8_192 / repeated.length));
  return { moment: "read", on: (socket) => {
    const fill = (): void => {
      while (!socket.destroyed && socket.write(batch)) {
        // Writes until the socket's buffer is full.
      }
    };
    socket.on("drain", fill);
    socket.write(beginning);
    fill();
  } };
}

/**
 * A node for tests. It listens on a free loopback port and performs the next action of its script on each request; the
 * last action is repeated.
 *
 *     const node = await ScriptedNode.listen(refuses(2), answers(200, "done"));
 *     const client = new Client({ nodes: [node.url] });
 */
export class ScriptedNode {
  /** All requests so far that were read completely. */
  readonly seen: Seen[] = [];
  readonly #server: Server;
  readonly #script: Play[];
  readonly #sockets = new Set<Socket>();

  private constructor(script: Play[]) {
    this.#script = script;
    this.#server = createServer((socket) => this.#serve(socket));
  }

  /** Starts a node with this script. */
  static async listen(...script: Play[]): Promise<ScriptedNode> {
    const node = new ScriptedNode(script);
    await new Promise<void>((done) => node.#server.listen(0, "127.0.0.1", done));
    return node;
  }

  /** The node's URL. */
  get url(): string {
    const address = this.#server.address();
    return `http://127.0.0.1:${typeof address === "object" && address !== null ? address.port : 0}`;
  }

  /** Closes its connections and its port. */
  async close(): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    await new Promise((done) => this.#server.close(done));
  }

  #next(): Play {
    return (this.#script.length > 1 ? this.#script.shift() : this.#script[0]) ?? silent();
  }

  #serve(socket: Socket): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.#sockets.delete(socket));
    if (this.#script[0]?.moment === "accepted") {
      this.#next().on(socket);
      return;
    }
    let text = "";
    let headActionDone = false;
    socket.on("data", (bytes) => {
      text += bytes.toString("latin1");
      for (let end = text.indexOf("\r\n\r\n"); end >= 0 && !socket.destroyed; end = text.indexOf("\r\n\r\n")) {
        const [first = "", ...lines] = text.slice(0, end).split("\r\n");
        const headers = Object.fromEntries(lines.map((line) => {
          const colon = line.indexOf(":");
          return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
        }));
        if (!headActionDone && this.#script[0]?.moment === "head-read") {
          headActionDone = true;
          this.#next().on(socket);
          return;
        }
        const length = Number(headers["content-length"] ?? 0);
        if (text.length < end + 4 + length) {
          break;
        }
        const body = Buffer.from(text.slice(end + 4, end + 4 + length), "latin1").toString("utf8");
        text = text.slice(end + 4 + length);
        const [method = "", target = ""] = first.split(" ");
        this.seen.push({ method, target, headers, body });
        this.#next().on(socket);
      }
      if (text.length > MAX_REQUEST_LENGTH) {
        socket.destroy();
      }
    });
  }
}
