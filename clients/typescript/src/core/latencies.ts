const BUCKETS = 64;
const MOST = 1_000;
const LEAST = 20;
const EDGES: number[] = [];
for (let i = 0, edge = 1; i < BUCKETS; i++) {
  EDGES.push(edge);
  edge += Math.floor(edge / 4) + 1;
}

/** How long answers have taken lately: counts in buckets, each a fourth wider than the one before, halved when they
 * hold 1,000. Whole numbers only, so that it is the same in every language. */
export class Latencies {
  #counts: number[] = new Array<number>(BUCKETS).fill(0);
  #total = 0;

  add(tookMs: number): void {
    let bucket = EDGES.findIndex((edge) => edge >= tookMs);
    if (bucket < 0) {
      bucket = BUCKETS - 1;
    }
    this.#counts[bucket]!++;
    this.#total++;
    if (this.#total >= MOST) {
      this.#counts = this.#counts.map((count) => Math.floor(count / 2));
      this.#total = this.#counts.reduce((a, b) => a + b, 0);
    }
  }

  /** The upper edge of the bucket where so many thousandths of answers have come; -1 while too few have. */
  quantile(perMille: number): number {
    if (this.#total < LEAST) {
      return -1;
    }
    const wanted = Math.ceil((this.#total * perMille) / MOST);
    let seen = 0;
    let bucket = -1;
    while (seen < wanted) {
      bucket++;
      seen += this.#counts[bucket]!;
    }
    return EDGES[Math.max(0, bucket)]!;
  }
}
