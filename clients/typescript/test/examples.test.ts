import assert from "node:assert/strict";
import { test } from "node:test";
import { OrderPage } from "../examples/order-page.js";
import { Client } from "../src/index.js";
import { NodeTransport } from "../src/node.js";
import { answers, closes, type Play, refuses, ScriptedNode, silent } from "../src/testing.js";

async function page(plays: Play[], press: (page: OrderPage, leave: AbortController) => Promise<void>): Promise<void> {
  const node = await ScriptedNode.listen(...plays);
  const bytes = new NodeTransport();
  const client = new Client({ nodes: [node.url], transport: bytes.transport, settings: { attempts: 1 } });
  try {
    await press(new OrderPage(client), new AbortController());
  } finally {
    client.close();
    await bytes.close();
    await node.close();
  }
}

test("an order page orders, and says so", () => page([answers(201)], async (shop, leave) => {
  assert.deepEqual(await shop.order(7, leave.signal), { text: "Ordered. Thank you.", again: false });
}));

test("an order page tells when to come back", () => page([refuses(90)], async (shop, leave) => {
  assert.deepEqual(await shop.order(7, leave.signal),
    { text: "Very busy just now. Please try again in 90 s.", again: true });
}));

test("an order page does not offer the button where the order may have been placed",
  () => page([closes("read")], async (shop, leave) => {
    const shown = await shop.order(7, leave.signal);
    assert.match(shown.text, /^We are checking whether your order [0-9a-f]{32} came through/);
    assert.equal(shown.again, false);
  }));

test("results come as they end, and leaving the loop gives up the rest", async () => {
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

test("a request that is none is told before anything is sent", async () => {
  const client = new Client({ nodes: ["http://127.0.0.1:1"] });
  await assert.rejects(client.send({ repeat: "safe", target: "albums" }), /'albums' is no path that begins with \//);
  for (const target of ["", "//other/x", "/a b", "/a#b", "/%zz", "/a{b}", "/a/../b", "/\u00e9"]) {
    await assert.rejects(client.send({ repeat: "safe", target }), /with what is special in it escaped/);
  }
  await assert.rejects(client.send({ repeat: "safe", target: "/", headers: { "X-Txn": "1" } }),
    /the client sets 'X-Txn' itself/);
  await assert.rejects(client.send({ repeat: "safe", target: "/", headers: { a: "b\r\nc: d" } }), /no header field/);
  await assert.rejects(client.send({ repeat: "keyed", target: "/", windowMs: 0 }), /longer than 0/);
  assert.throws(() => new Client({ nodes: ["127.0.0.1:80"] }), /is no node/);
  client.close();
  assert.equal((await client.send({ repeat: "safe", target: "/" })).kind, "never-ran");
});
