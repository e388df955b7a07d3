// A control node that leaves in order, and who takes its duties (design/hardening/1-cut-off).
import * as singletonRole from "../../src/control/platform/singleton-role.js";
import * as calls from "../../src/wire/calls.js";
import type * as leaseSchema from "../../src/wire/lease-schema.js";
import type * as simControlNode from "../sim/sim-control-node.js";
import * as systems from "../sim/system.js";

function isGranting(node: simControlNode.ControlNode): boolean {
  const ask: leaseSchema.LeaseRequest = { router: "r", life: "", needs: [], done: [] };
  const reply = node.handlers.get(calls.lease.code)!(null as never, ask as never) as leaseSchema.LeaseReply;
  return reply.isGranting;
}

test("leaving: it says so at once, votes on, sends operators elsewhere, and its duties and routers move", async () => {
  const system = await systems.start();
  const { clock } = system;
  const [a, b] = [systems.get(system, "a"), systems.get(system, "b")];
  expect(b.fitness(a)).toBe(singletonRole.CONFIRMED);
  expect(isGranting(a)).toBe(true);
  a.drain();
  expect([isGranting(a), isGranting(b)]).toEqual([false, true]);
  await clock.play(20);
  expect(b.fitness(a)).toBe(singletonRole.DRAINING);
  expect((await systems.answered(system, a.evacuate("z0"))).told.status).toBe(307);
  await clock.play(130);
  expect(["b", "c"]).toContain(systems.router(system, "ra").main);
  system.network.cut(["c"], ["a", "b"]);
  await clock.play(50);
  const { told, ms } = await systems.answered(system, b.evacuate("z0"));
  expect([told.status, ms < 100]).toEqual([200, true]); // a's vote is one of the two
});

test("singleton roles go to confirmed nodes by name, then to those without a majority, and last to one that is draining", () => {
  const { DRAINING, UNCONFIRMED, CONFIRMED } = singletonRole;
  function order(...eligibilities: singletonRole.Eligibility[]): string[] {
    const all = eligibilities.map((eligibility, index) => ({ name: "abc"[index], region: "", eligibility }));
    return singletonRole.bestCandidates(all).map((item) => item.name);
  }
  expect(order(CONFIRMED, CONFIRMED, CONFIRMED)).toEqual(["a", "b", "c"]);
  expect(order(UNCONFIRMED, CONFIRMED, CONFIRMED)).toEqual(["b", "c"]);
  expect(order(DRAINING, CONFIRMED, UNCONFIRMED)).toEqual(["b"]);
  expect(order(DRAINING, UNCONFIRMED, UNCONFIRMED)).toEqual(["b", "c"]);
  expect(order(DRAINING, DRAINING)).toEqual(["a", "b"]);
  expect(singletonRole.rankOf("b", [{ name: "a" }, { name: "b" }])).toBe(1);
  expect(singletonRole.rankOf("c", [{ name: "a" }, { name: "b" }])).toBe(2);
});
