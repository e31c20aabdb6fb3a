import type { Ending } from "./types.js";

/** The header in which a standalone node says whether a request that it has not served has run. */
export const RAN = "vetchpost-ran";

const SECONDS = /^[0-9]{1,10}(\.[0-9]{1,9})?$/;
const DATE = /^(Mon|Tue|Wed|Thu|Fri|Sat|Sun), ([0-9]{2}) ([A-Z][a-z]{2}) ([0-9]{4}) ([0-9]{2}):([0-9]{2}):([0-9]{2}) GMT$/;
const MS_PER_SECOND = 1_000;
const MONTHS = ["Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"];
const DAYS = ["Sun", "Mon", "Tue", "Wed", "Thu", "Fri", "Sat"];

/**
 * Returns the ending of an attempt whose answer has arrived completely.
 *
 * @param ran the header `Vetchpost-Ran`, or null
 * @param retryAfter the header Retry-After, or null
 * @param date the header Date, or null
 * @param unixMs this machine's wall clock, used if the node sent no readable Date
 * @param plainRefusals whether every 429 and 503 is a node's refusal, as on the platform
 */
export function endingOfAnswer(status: number, ran: string | null, retryAfter: string | null, date: string | null,
  unixMs: number, plainRefusals: boolean): Ending {
  const neverRan = ran === "no";
  if (status === 429 || status === 503) {
    return neverRan || plainRefusals
      ? { kind: "refused", answered: true, retryAfterMs: retryAfterMs(retryAfter, date, unixMs),
          cause: `refused with ${status}` }
      : { kind: "may-have-run", answered: true, retryAfterMs: -1, cause: `answered ${status}` };
  }
  const kind = neverRan && (status >= 500 || status === 408) ? "never-ran"
    : status >= 500 ? "may-have-run" : "served";
  return { kind, answered: true, retryAfterMs: -1, cause: `answered ${status}` };
}

/**
 * Returns the milliseconds that a Retry-After (RFC 9110, section 10.2.3; decimals are accepted too) asks for, rounded
 * up; -1 if it is missing or malformed. A date is relative to the node's own Date, so that an error of this machine's
 * clock does not shorten the wait.
 */
export function retryAfterMs(retryAfter: string | null, date: string | null, unixMs: number): number {
  if (retryAfter === null) {
    return -1;
  }
  if (SECONDS.test(retryAfter)) {
    return Math.ceil(Number(retryAfter) * MS_PER_SECOND);
  }
  const retryAtMs = dateMs(retryAfter);
  if (retryAtMs < 0) {
    return -1;
  }
  const nodeTimeMs = date === null ? -1 : dateMs(date);
  return Math.max(0, retryAtMs - (nodeTimeMs < 0 ? unixMs : nodeTimeMs));
}

function dateMs(date: string): number {
  const parts = DATE.exec(date);
  const month = MONTHS.indexOf(parts?.[3] ?? "");
  if (parts === null || month < 0) {
    return -1;
  }
  const [day, year, hour, minute, second] = [2, 4, 5, 6, 7].map((i) => Number(parts[i])) as
    [number, number, number, number, number];
  const instant = new Date(Date.UTC(year, month, day, hour, minute, second));
  // Values that the calendar rolls over (31 February, 24:00:00) and a wrong day of the week are no valid date.
  const isValid = instant.getUTCDate() === day && instant.getUTCHours() === hour && instant.getUTCMinutes() === minute
    && instant.getUTCSeconds() === second && DAYS[instant.getUTCDay()] === parts[1];
  return isValid ? Math.max(-1, instant.getTime()) : -1;
}
