/** Tokens are thousandths of a retry. */
const TOKENS_PER_RETRY = 1_000;

/**
 * The budget of retries and hedges of one client: a token bucket that served calls fill, so that a failing fleet is not
 * sent twice as many requests as a healthy one.
 */
export class Budget {
  readonly #maxTokens: number;
  readonly #tokensPerServedCall: number;
  #tokens: number;

  /**
   * Creates a full budget.
   *
   * @param maxRetries the maximum number of retries and hedges in the budget
   * @param perMille what a served call adds, in thousandths of a retry
   */
  constructor(maxRetries: number, perMille: number) {
    this.#maxTokens = maxRetries * TOKENS_PER_RETRY;
    this.#tokensPerServedCall = perMille;
    this.#tokens = this.#maxTokens;
  }

  hasRetry(): boolean {
    return this.#tokens >= TOKENS_PER_RETRY;
  }

  spendRetry(): void {
    this.#tokens -= TOKENS_PER_RETRY;
  }

  creditServedCall(): void {
    this.#tokens = Math.min(this.#maxTokens, this.#tokens + this.#tokensPerServedCall);
  }
}
