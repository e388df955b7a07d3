// Which few control nodes a router keeps sessions with (design/members).
import * as dialer from "../../src/feed/dialer.js";
import * as sessionSelector from "../../src/feed/session-selector.js";
import * as link from "../../src/wire/link.js";
import type * as schema from "../../src/wire/schema.js";
import type * as types from "../../src/wire/types.js";
import * as simulatedClock from "../sim/simulated-clock.js";

interface Spread {
  description: string;
  /** Of the control nodes. */
  regions: string[];
  /** Regions of the routers. */
  routers: string[];
}

const SPREADS: Spread[] = [
  { description: "three regions with two, two and one", regions: ["a", "a", "b", "b", "c"], routers: ["a", "b", "c"] },
  { description: "five regions with one each", regions: ["a", "b", "c", "d", "e"], routers: ["a", "b", "c", "d", "e"] },
  { description: "thirteen regions, five of them with one", regions: ["a", "b", "c", "d", "e"], routers: [..."abcdefghijklm"] },
  { description: "one region", regions: ["a", "a", "a", "a", "a"], routers: ["a"] },
];

describe("session selector", () => {
  test.each(SPREADS)(
    "480 routers over 5 control nodes: each within 15 %% of the mean; own and another region held: $description",
    ({ regions, routers }) => {
      const controls = regions.map((region, index) => ({ address: `10.0.${index}.7:9301`, region }));
      const sessions = new Map(controls.map((control) => [control.address, 0]));
      for (let index = 0; index < 480; index += 1) {
        const region = routers[index % routers.length];
        const chosen = sessionSelector.chooseControls(controls, { name: `edge-${index}`, region });
        const chosenRegions = controls.filter((control) => chosen.has(control.address)).map((control) => control.region);
        expect(chosen.size).toBe(3);
        if (regions.includes(region)) expect(chosenRegions).toContain(region);
        if (new Set(regions).size > 1) expect(chosenRegions.some((other) => other !== region)).toBe(true);
        for (const address of chosen) sessions.set(address, sessions.get(address)! + 1);
      }
      for (const count of sessions.values()) expect(Math.abs(count / 288 - 1)).toBeLessThan(0.15);
    },
  );

  test("up to three known are all chosen; one lost moves only its own routers", () => {
    const known = ["a", "b", "c", "d", "e"].map((region) => ({ address: `${region}:1`, region }));
    expect(sessionSelector.chooseControls(known.slice(0, 3), { name: "x", region: "a" }).size).toBe(3);
    expect(sessionSelector.chooseControls(known.slice(0, 2), { name: "x", region: "q" }).size).toBe(2);
    const controls = ["a", "a", "b", "b", "c"].map((region, index) => ({ address: `${region}${index}:1`, region }));
    const losses = Array.from({ length: 20 }).flatMap(() => controls);
    for (const [index, lost] of losses.entries()) {
      const self = { name: `x${index}`, region: ["a", "b", "c", "q"][index % 4] };
      const before = sessionSelector.chooseControls(controls, self);
      const remaining = controls.filter((control) => control !== lost);
      const after = sessionSelector.chooseControls(remaining, self, controls);
      if (!before.has(lost.address)) expect([...after].sort()).toEqual([...before].sort());
      else expect([...before].filter((address) => after.has(address))).toHaveLength(2);
    }
  });
});

/** Time passes while the process works, as on a machine. */
class RunningClock extends simulatedClock.SimulatedClock {
  override now(): types.SteadyMs {
    this.skip(0.01);
    return super.now();
  }
}

test("a router that starts dials the first seed in its first run", () => {
  const clock = new RunningClock();
  const dialled: string[] = [];
  class RecordingDialer extends dialer.Dialer {
    protected override connect(address: string): Promise<null> {
      dialled.push(address);
      return new Promise(() => undefined);
    }
  }
  const selector = new sessionSelector.SessionSelector(clock, { name: "edge-1", region: "a" });
  const describe = (): schema.NodeInfo => ({}) as schema.NodeInfo;
  const dial = new RecordingDialer(clock, "", new link.Handlers(), describe, link.LINK_TIMEOUT_MS, selector);
  dial.addAddresses(["a:1", "b:1", "c:1"]);
  dial.maintainLinks();
  expect(dialled).toHaveLength(1);
});
