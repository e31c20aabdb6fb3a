const BUCKET_COUNT = 64;
const MAX_SAMPLES = 1_000;
const MIN_SAMPLES = 20;
const MILLE = 1_000;
const UPPER_EDGES_MS: number[] = [];
for (let i = 0, edge = 1; i < BUCKET_COUNT; i++) {
  UPPER_EDGES_MS.push(edge);
  edge += Math.floor(edge / 4) + 1;
}

/**
 * A histogram of recent answer times. Each bucket's edge is a fourth above the one before; all counts are halved when
 * they reach `MAX_SAMPLES`. It uses whole numbers only, so that it gives the same results in every language.
 */
export class Latencies {
  #counts: number[] = new Array<number>(BUCKET_COUNT).fill(0);
  #total = 0;

  add(tookMs: number): void {
    let bucket = UPPER_EDGES_MS.findIndex((edge) => edge >= tookMs);
    if (bucket < 0) {
      bucket = BUCKET_COUNT - 1;
    }
    this.#counts[bucket]!++;
    this.#total++;
    if (this.#total >= MAX_SAMPLES) {
      this.#counts = this.#counts.map((count) => Math.floor(count / 2));
      this.#total = this.#counts.reduce((a, b) => a + b, 0);
    }
  }

  /**
   * Returns the upper edge, in milliseconds, of the bucket that holds a quantile; -1 while there are too few samples.
   *
   * @param perMille the quantile in thousandths, 0 to 1,000
   */
  quantile(perMille: number): number {
    if (this.#total < MIN_SAMPLES) {
      return -1;
    }
    const wanted = Math.ceil((this.#total * perMille) / MILLE);
    let seen = 0;
    let bucket = -1;
    while (seen < wanted) {
      bucket++;
      seen += this.#counts[bucket]!;
    }
    return UPPER_EDGES_MS[Math.max(0, bucket)]!;
  }
}
