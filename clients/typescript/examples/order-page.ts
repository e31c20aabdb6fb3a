import { Client, type Result, unhandled } from "vetchpost-client";

/** What an order page shows. `again` tells whether the user may order again. */
export interface Shown {
  readonly text: string;
  readonly again: boolean;
}

/** The order page of a shop, whose button must not order twice. */
export class OrderPage {
  readonly #client: Client;

  constructor(client: Client) {
    this.#client = client;
  }

  /** Places an order when the button is pressed. `leaving` is aborted when the user leaves the page. */
  async order(photo: number, leaving: AbortSignal): Promise<Shown> {
    const result = await this.#client.send({
      repeat: "unsafe", target: "/place-order", withinMs: 5_000, headers: { "content-type": "application/json" },
      body: JSON.stringify({ photo }),
    }, leaving);
    return this.#shown(result);
  }

  #shown(result: Result): Shown {
    switch (result.kind) {
      case "served":
        return result.status === 201 ? { text: "Ordered. Thank you.", again: false }
          : { text: `The shop said no (${result.status}).`, again: true };
      case "refused":
        return { text: result.comeBackMs === undefined ? "Very busy just now. Please try again later."
          : `Very busy just now. Please try again in ${Math.ceil(result.comeBackMs / 1_000)} s.`, again: true };
      case "never-ran":
        return { text: "The shop can't be reached. Nothing was ordered.", again: true };
      case "may-have-run":
      case "late":
        // Whether the order was placed is unknown, so the page must not guess.
        return { text: `We are checking whether your order ${result.id} came through.`, again: false };
      case "cancelled":
        return { text: "", again: !result.mayHaveRun };
      default:
        return unhandled(result);
    }
  }
}
