/**
 * Whether a call may be sent again: a safe one after any failure, a keyed one while servers drop repeats of its key, an
 * unsafe one only if it certainly has not run.
 */
export type Repeat = "safe" | "keyed" | "unsafe";

/** The settings of a client's decisions; all times in milliseconds. `docs/client-protocol.md` says what each does. */
export interface Settings {
  /** Maximum attempts of one call, the first one, retries and hedges together; 1 to 100. */
  readonly attempts: number;
  /** Upper bound of the wait before the first retry; it doubles with each failed attempt; at least 1. */
  readonly backoffMs: number;
  /** Maximum of that bound; at least `backoffMs`. */
  readonly backoffMostMs: number;
  /** Maximum retries and hedges in a row while no call succeeds; 0 to 1,000,000. */
  readonly budget: number;
  /** What a served call adds to the budget, in thousandths of a retry; 0 to 1,000. */
  readonly budgetPerMille: number;
  /** Timeout of one attempt of a safe or keyed call; 0 for none. */
  readonly perAttemptMs: number;
  /**
   * A safe call is hedged once its first attempt has taken longer than this many thousandths of recent answers; 0 for
   * no hedges, at most 999.
   */
  readonly secondCopyPerMille: number;
  /** Initial maximum of attempts in flight at one node; 1 to `limitMost`. */
  readonly limit: number;
  /** Maximum that the limit may grow to; 1 to 100,000. */
  readonly limitMost: number;
  /** Maximum calls that wait for an available node; 0 to 1,000,000. */
  readonly waiting: number;
  /** Consecutive failures after which a node is ejected; 1 to 1,000,000. */
  readonly ejectAfter: number;
  /** Duration of the first ejection; it doubles each time that a trial fails; at least 1. */
  readonly ejectMs: number;
  /** Maximum duration of an ejection; at least `ejectMs`. */
  readonly ejectMostMs: number;
}

/** Settings that suit most clients. */
export const DEFAULT_SETTINGS: Settings = Object.freeze({
  attempts: 3, backoffMs: 50, backoffMostMs: 2_000, budget: 10, budgetPerMille: 100, perAttemptMs: 0,
  secondCopyPerMille: 950, limit: 16, limitMost: 256, waiting: 1_000, ejectAfter: 5, ejectMs: 1_000,
  ejectMostMs: 30_000,
});

const MAX_INT32 = 2 ** 31 - 1;

/**
 * Returns the default settings, overridden by the given ones.
 *
 * @throws RangeError if a setting is unknown or out of its range; the message names it
 */
export function resolveSettings(overrides: Partial<Settings> = {}): Settings {
  const settings: Settings = { ...DEFAULT_SETTINGS, ...overrides };
  const ranges: Record<keyof Settings, readonly [number, number]> = {
    attempts: [1, 100], backoffMs: [1, MAX_INT32], backoffMostMs: [settings.backoffMs, MAX_INT32],
    budget: [0, 1_000_000], budgetPerMille: [0, 1_000], perAttemptMs: [0, MAX_INT32], secondCopyPerMille: [0, 999],
    limitMost: [1, 100_000], limit: [1, settings.limitMost], waiting: [0, 1_000_000], ejectAfter: [1, 1_000_000],
    ejectMs: [1, MAX_INT32], ejectMostMs: [settings.ejectMs, MAX_INT32],
  };
  for (const [name, value] of Object.entries(settings)) {
    const range = ranges[name as keyof Settings];
    if (range === undefined) {
      throw new RangeError(`there is no setting '${name}'`);
    }
    if (!Number.isInteger(value) || value < range[0] || value > range[1]) {
      throw new RangeError(`${name} is ${String(value)}, not ${range[0]} to ${range[1]}`);
    }
  }
  return settings;
}
