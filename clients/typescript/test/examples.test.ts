import assert from "node:assert/strict";
import { test } from "node:test";
import { OrderPage } from "../examples/order-page.js";
import { Client } from "../src/index.js";
import { NodeTransport } from "../src/node.js";
import { answers, closes, type Play, refuses, ScriptedNode, silent } from "../src/testing.js";

async function withOrderPage(plays: Play[],
  useOrderPage: (page: OrderPage, leaving: AbortController) => Promise<void>): Promise<void> {
  const node = await ScriptedNode.listen(...plays);
  const transport = new NodeTransport();
  const client = new Client({ nodes: [node.url], transport: transport.transport, settings: { attempts: 1 } });
  try {
    await useOrderPage(new OrderPage(client), new AbortController());
  } finally {
    client.close();
    await transport.close();
    await node.close();
  }
}

test("the order page orders and confirms it", () => withOrderPage([answers(201)], async (page, leaving) => {
  assert.deepEqual(await page.order(7, leaving.signal), { text: "Ordered. Thank you.", again: false });
}));

test("the order page shows after how long to retry a refused order", () => withOrderPage(
  [refuses(90)], async (page, leaving) => {
  assert.deepEqual(await page.order(7, leaving.signal),
    { text: "Very busy just now. Please try again in 90 s.", again: true });
}));

test("the order page offers no second order while the first may have been placed",
  () => withOrderPage([closes("read")], async (page, leaving) => {
    const shown = await page.order(7, leaving.signal);
    assert.match(shown.text, /^We are checking whether your order [0-9a-f]{32} came through/);
    assert.equal(shown.again, false);
  }));

test("sendAll yields results as they end, and leaving the loop cancels the rest", async () => {
  const node = await ScriptedNode.listen(answers(200, "a"), answers(200, "b"), silent());
  const client = new Client({ nodes: [node.url], settings: { secondCopyPerMille: 0 } });
  try {
    let seen = 0;
    const all = Array.from({ length: 5 }, (_, i) => ({ repeat: "safe" as const, target: `/${i}` }));
    for await (const { result } of client.sendAll(all, 2)) {
      assert.equal(result.kind, "served");
      if (++seen === 2) {
        break;
      }
    }
    assert.equal(seen, 2);
  } finally {
    client.close();
    await node.close();
  }
});

test("an invalid request is rejected before anything is sent", async () => {
  const client = new Client({ nodes: ["http://127.0.0.1:1"] });
  await assert.rejects(client.send({ repeat: "safe", target: "albums" }), /'albums' is not a path that begins with \//);
  for (const target of ["", "//other/x", "/a b", "/a#b", "/%zz", "/a{b}", "/a/../b", "/\u00e9"]) {
    await assert.rejects(client.send({ repeat: "safe", target }), /has its special characters percent-encoded/);
  }
  await assert.rejects(client.send({ repeat: "safe", target: "/", headers: { "X-Txn": "1" } }),
    /the client sets 'X-Txn' itself/);
  await assert.rejects(client.send({ repeat: "safe", target: "/", headers: { a: "b\r\nc: d" } }),
    /is not a valid header/);
  await assert.rejects(client.send({ repeat: "keyed", target: "/", windowMs: 0 }), /must be longer than 0/);
  assert.throws(() => new Client({ nodes: ["127.0.0.1:80"] }), /is not a node URL/);
  client.close();
  assert.equal((await client.send({ repeat: "safe", target: "/" })).kind, "never-ran");
});
