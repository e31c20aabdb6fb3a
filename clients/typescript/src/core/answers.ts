import type { Ending } from "./types.js";

/** The field in which a node that stands alone says whether a request that it has not served has run. */
export const RAN = "vetchpost-ran";

const SECONDS = /^[0-9]{1,10}(\.[0-9]{1,9})?$/;
const DATE = /^(Mon|Tue|Wed|Thu|Fri|Sat|Sun), ([0-9]{2}) ([A-Z][a-z]{2}) ([0-9]{4}) ([0-9]{2}):([0-9]{2}):([0-9]{2}) GMT$/;
const MONTHS = ["Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"];
const DAYS = ["Sun", "Mon", "Tue", "Wed", "Thu", "Fri", "Sat"];

/**
 * The ending of an attempt that was answered, whole.
 *
 * @param ran the field `Vetchpost-Ran`, or null
 * @param retryAfter the field Retry-After, or null
 * @param date the field Date, or null
 * @param unixMs the time by this machine's wall clock, which counts where the node names no time of its own
 * @param plainRefusals whether every 429 and 503 is a node's refusal, as on the platform
 */
export function endingOf(status: number, ran: string | null, retryAfter: string | null, date: string | null,
  unixMs: number, plainRefusals: boolean): Ending {
  const never = ran === "no";
  if (status === 429 || status === 503) {
    return never || plainRefusals
      ? { kind: "refused", answered: true, retryAfterMs: retryAfterMs(retryAfter, date, unixMs),
          cause: `refused with ${status}` }
      : { kind: "may-have-run", answered: true, retryAfterMs: -1, cause: `answered ${status}` };
  }
  const kind = never && (status >= 500 || status === 408) ? "never-ran"
    : status >= 500 ? "may-have-run" : "served";
  return { kind, answered: true, retryAfterMs: -1, cause: `answered ${status}` };
}

/** The milliseconds that a Retry-After (RFC 9110, section 10.2.3; decimals too) asks for, rounded up; -1 if it can't
 * be read. A date counts from the node's own Date, so that no clock here makes it shorter. */
export function retryAfterMs(retryAfter: string | null, date: string | null, unixMs: number): number {
  if (retryAfter === null) {
    return -1;
  }
  if (SECONDS.test(retryAfter)) {
    return Math.ceil(Number(retryAfter) * 1_000);
  }
  const then = dateMs(retryAfter);
  if (then < 0) {
    return -1;
  }
  const from = date === null ? -1 : dateMs(date);
  return Math.max(0, then - (from < 0 ? unixMs : from));
}

function dateMs(date: string): number {
  const parts = DATE.exec(date);
  const month = MONTHS.indexOf(parts?.[3] ?? "");
  if (parts === null || month < 0) {
    return -1;
  }
  const [day, year, hour, minute, second] = [2, 4, 5, 6, 7].map((i) => Number(parts[i])) as
    [number, number, number, number, number];
  const at = new Date(Date.UTC(year, month, day, hour, minute, second));
  // What the calendar rolls over (31 February, 24:00:00) is no date, and neither is a wrong day of the week.
  const same = at.getUTCDate() === day && at.getUTCHours() === hour && at.getUTCMinutes() === minute
    && at.getUTCSeconds() === second && DAYS[at.getUTCDay()] === parts[1];
  return same ? Math.max(-1, at.getTime()) : -1;
}
