export { Client, type ClientOptions, type Listener } from "./client.js";
export { DEFAULT_SETTINGS, type Repeat, type Settings } from "./core/settings.js";
export type { Ending, EndingKind } from "./core/types.js";
export type { Request } from "./request.js";
export {
  type Cancelled, type Late, type MayHaveRun, type NeverRan, type Refused, type Result, type Served, unhandled,
} from "./result.js";
export { type Answer, fetchTransport, type Sending, type Transport } from "./transport.js";
