// For how long a router serves without the word of a confirmed control node (design/hardening/1-cut-off 4).
import * as routerNode from "../sim/router-node.js";
import * as systems from "../sim/system.js";

test("a router serves unconfirmed for a bounded time, running or started behind the cut, and again once it is confirmed", async () => {
  const LIMIT_MS = 6000;
  const system = await systems.start();
  const { clock, network } = system;
  const running = new routerNode.RouterNode(network, "running", "a", systems.NAMES, LIMIT_MS);
  await clock.play(2000);
  network.cut(["a", "ra", "running", "late"], ["b", "c", "rb", "rc"]);
  await clock.play(2000);
  const late = new routerNode.RouterNode(network, "late", "a", systems.NAMES, LIMIT_MS);
  await clock.play(3000);
  expect([running.gate.allows(), late.gate.allows()]).toEqual([true, true]);
  expect(late.gate.status()).toEqual({ isOpen: true, confirmedMsAgo: null, isExpired: false });
  await clock.play(LIMIT_MS);
  for (const router of [running, late]) {
    expect([router.name, router.gate.allows(), router.gate.status().isExpired]).toEqual([router.name, false, true]);
  }
  network.cuts.clear();
  await clock.play(3000);
  expect([running.gate.allows(), late.gate.allows()]).toEqual([true, true]);
  expect(running.gate.status().isExpired).toBe(false);
});

test("a router whose process stood still past the bound serves nothing before it is confirmed again", async () => {
  const system = await systems.start();
  const { clock, network } = system;
  const router = new routerNode.RouterNode(network, "running", "a", systems.NAMES, 3000);
  await clock.play(2000);
  network.frozen.add("running");
  await clock.play(4000);
  expect(router.gate.allows()).toBe(false);
  network.frozen.delete("running");
  await clock.play(2500);
  expect(router.gate.allows()).toBe(true);
});
