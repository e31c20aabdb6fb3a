/** What may be sent again, by what a second effect would cost. */
export type Repeat = "safe" | "keyed" | "unsafe";

/** The figures that decisions go by; all times in milliseconds. `docs/client-protocol.md` says what each does. */
export interface Settings {
  /** Most sendings of one call, the first and second copies among them; 1 to 100. */
  readonly attempts: number;
  /** The first bound of the wait before a repeat; it doubles with each failed attempt. */
  readonly backoffMs: number;
  /** Where it stops doubling. */
  readonly backoffMostMs: number;
  /** Most repeats and second copies in a row, until calls succeed. */
  readonly budget: number;
  /** How much of one more repeat a served call earns, in thousandths. */
  readonly budgetPerMille: number;
  /** An attempt of a safe or keyed call that has no answer by then is given up; 0 for never. */
  readonly perAttemptMs: number;
  /** A safe call's second copy goes out once the first has taken longer than so many thousandths of answers; 0
   * for no second copies. */
  readonly secondCopyPerMille: number;
  /** Calls that one node has in flight at most, at the beginning. */
  readonly limit: number;
  /** The most that the limit may grow to. */
  readonly limitMost: number;
  /** Most calls that wait for a node to have room. */
  readonly waiting: number;
  /** Failures in a row after which a node gets no calls for a while. */
  readonly ejectAfter: number;
  /** For how long the first time; it doubles each time that a trial fails. */
  readonly ejectMs: number;
  /** Where it stops doubling. */
  readonly ejectMostMs: number;
}

/** The settings that fit most callers. */
export const DEFAULT_SETTINGS: Settings = Object.freeze({
  attempts: 3, backoffMs: 50, backoffMostMs: 2_000, budget: 10, budgetPerMille: 100, perAttemptMs: 0,
  secondCopyPerMille: 950, limit: 16, limitMost: 256, waiting: 1_000, ejectAfter: 5, ejectMs: 1_000,
  ejectMostMs: 30_000,
});

const INT = 2 ** 31 - 1;

/** The defaults with what is given in their place.
 * @throws RangeError if a figure is out of its range or no figure's name; the message names it */
export function settled(given: Partial<Settings> = {}): Settings {
  const all: Settings = { ...DEFAULT_SETTINGS, ...given };
  const ranges: Record<keyof Settings, readonly [number, number]> = {
    attempts: [1, 100], backoffMs: [1, INT], backoffMostMs: [all.backoffMs, INT], budget: [0, 1_000_000],
    budgetPerMille: [0, 1_000], perAttemptMs: [0, INT], secondCopyPerMille: [0, 999], limitMost: [1, 100_000],
    limit: [1, all.limitMost], waiting: [0, 1_000_000], ejectAfter: [1, 1_000_000], ejectMs: [1, INT],
    ejectMostMs: [all.ejectMs, INT],
  };
  for (const [name, value] of Object.entries(all)) {
    const range = ranges[name as keyof Settings];
    if (range === undefined) {
      throw new RangeError(`there is no setting '${name}'`);
    }
    if (!Number.isInteger(value) || value < range[0] || value > range[1]) {
      throw new RangeError(`${name} is ${String(value)}, not ${range[0]} to ${range[1]}`);
    }
  }
  return all;
}
