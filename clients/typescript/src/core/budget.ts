const REPEAT = 1_000;

/** Repeats that calls may cost in all: a token bucket that served calls fill, so that a failing fleet is not asked
 * twice as often as a healthy one. In thousandths of a repeat. */
export class Budget {
  readonly #most: number;
  readonly #earned: number;
  #tokens: number;

  constructor(most: number, perMille: number) {
    this.#most = most * REPEAT;
    this.#earned = perMille;
    this.#tokens = this.#most;
  }

  has(): boolean {
    return this.#tokens >= REPEAT;
  }

  take(): void {
    this.#tokens -= REPEAT;
  }

  served(): void {
    this.#tokens = Math.min(this.#most, this.#tokens + this.#earned);
  }
}
