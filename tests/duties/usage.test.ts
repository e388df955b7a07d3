// Usage by window and tenant: counted at routers, collected, joined and reported (design/duties 4).
import * as dutyTable from "../../src/duties/duty-table.js";
import * as timeOfDay from "../../src/duties/time-of-day.js";
import * as usageCounter from "../../src/duties/usage-counter.js";
import * as usageLedger from "../../src/duties/usage-ledger.js";
import * as usageReporter from "../../src/duties/usage-reporter.js";
import type * as dutySchema from "../../src/wire/duty-schema.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const WINDOW_MS = 5000;
/** The start of a window in 2026. */
const START_MS = 357_886_500 * WINDOW_MS;
const FIRST_WINDOW = START_MS / WINDOW_MS;

function request(timeOfDayMs: number, last?: dutySchema.UsageReply): dutySchema.UsageRequest {
  return { timeOfDayMs, windowMs: WINDOW_MS, acknowledged: last?.sequence ?? 0, life: last?.life ?? "" };
}

describe("usage", () => {
  test("random collections: replies lost, repeated and sent to several control nodes; each request is counted once", () => {
    for (let seed = 1; seed <= 40; seed += 1) {
      const clock = new simulatedClock.SimulatedClock(seed);
      const routers = ["r1", "r2", "r3"].map((name) => new usageCounter.UsageCounter(clock, name));
      const controls = [0, 1].map(() => ({ ledger: new usageLedger.UsageLedger(), last: new Map<number, dutySchema.UsageReply>() }));
      const holder = new usageLedger.UsageLedger();
      const truth = new usageLedger.UsageLedger();
      const counts = new Map<string, number>();
      for (let step = 0; step < 400; step += 1) {
        clock.skip(clock.random() * 60);
        const index = Math.floor(clock.random() * routers.length);
        const now = START_MS + clock.now();
        if (clock.random() < 0.7) {
          const tenant = `t${Math.floor(clock.random() * 4)}`;
          const key = `${index} ${tenant} ${Math.floor(now / WINDOW_MS)}`;
          counts.set(key, (counts.get(key) ?? 0) + 1);
          routers[index].record(tenant);
          truth.join([{ life: `r${index}`, window: Math.floor(now / WINDOW_MS), counts: [{ tenant, count: counts.get(key)! }] }]);
        } else collect(controls[Math.floor(clock.random() * 2)], index, now, clock.random() < 0.3);
      }
      for (const control of controls) {
        for (const index of routers.keys()) collect(control, index, START_MS + clock.now(), false);
        // Handed over twice, as after a reply that was lost.
        for (let round = 0; round < 2; round += 1) holder.join(control.ledger.since(0));
      }
      const windows = [0, 1, 2, 3].map((offset) => FIRST_WINDOW + offset);
      expect(windows.map((window) => holder.reportOf(window))).toEqual(windows.map((window) => truth.reportOf(window)));

      function collect(control: (typeof controls)[number], index: number, now: number, isLost: boolean): void {
        const reply = routers[index].reply(request(now, control.last.get(index)), 0);
        if (isLost) return;
        control.last.set(index, reply);
        control.ledger.join(reply.windows);
      }
    }
  });

  test("requests that began before the first collection are counted in their windows", () => {
    const clock = new simulatedClock.SimulatedClock();
    const router = new usageCounter.UsageCounter(clock, "r");
    router.record("t");
    clock.skip(WINDOW_MS);
    const { windows } = router.reply(request(START_MS + WINDOW_MS + 10), 0);
    expect(windows).toEqual([{ life: "r", window: FIRST_WINDOW, counts: [{ tenant: "t", count: 1 }] }]);
  });

  // A router that stood still reads what it was asked before: its clock would go wrong by as much, and counts into other windows.
  test("a request that is read late does not move the router's time of day", () => {
    const clock = new simulatedClock.SimulatedClock();
    const router = new usageCounter.UsageCounter(clock, "r");
    router.reply(request(START_MS), 0);
    clock.skip(WINDOW_MS + 100);
    const reply = router.reply(request(START_MS + 100), WINDOW_MS);
    router.record("t");
    expect(router.reply(request(START_MS + WINDOW_MS + 100, reply), 0).windows).toMatchObject([{ window: FIRST_WINDOW + 1 }]);
  });

  test("the agreed time of day is not moved by one clock that jumps, nor by the own one alone", () => {
    const clock = new simulatedClock.SimulatedClock();
    let jumpMs = 0;
    const time = new timeOfDay.TimeOfDay(clock, () => START_MS + clock.now() + jumpMs);
    time.recordSample("b", START_MS + 4);
    time.recordSample("c", START_MS - 3);
    expect(time.now()).toBe(START_MS);
    jumpMs = 5000;
    expect(time.now()).toBe(START_MS + 4);
    clock.skip(30_000);
    expect(time.now()).toBe(START_MS + 30_004);
    time.adopt(START_MS + 30_050);
    expect(time.now()).toBe(START_MS + 30_050);
  });

  describe("a report is decided", () => {
    const terms = { windowMs: WINDOW_MS, dueMs: 10_000, mergeMs: null };

    function reporterAt(peers: Record<string, number>, mergeMs: number | null = null, latenessMs = 0) {
      const clock = new simulatedClock.SimulatedClock();
      const time = new timeOfDay.TimeOfDay(clock, () => START_MS + clock.now());
      const reporter = new usageReporter.UsageReporter(new usageLedger.UsageLedger(), time, { ...terms, mergeMs }, () =>
        Object.keys(peers),
      );
      const table = { ...dutyTable.EMPTY, decidedThrough: FIRST_WINDOW - 1 };
      return (atMs: number): number[] => {
        for (const [name, seenMs] of Object.entries(peers)) {
          if (seenMs > atMs) continue;
          clock.skip(seenMs - clock.now());
          reporter.recordRelay(name, latenessMs);
        }
        clock.skip(atMs - clock.now());
        return reporter.dueReports(table).map(({ window }) => window - FIRST_WINDOW);
      };
    }

    test.each<[string, Record<string, number>, number, number[]]>([
      ["not before the counts can be there", { b: 6600 }, 6600, []],
      ["once all others have handed over after its end", { b: 6800, c: 6900 }, 7000, [0]],
      ["not while one of them is missing", { b: 6800, c: 4000 }, 9000, []],
      ["not while one of them was never in touch", { b: 6800, c: Infinity }, 11_900, []],
      ["without that one when it would be late", { b: 6800, c: Infinity }, 12_100, [0]],
      ["several at once after a pause", {}, 22_000, [0, 1, 2, 3]],
    ])("%s", (_title, peers, atMs, windows) => {
      expect(reporterAt(peers)(atMs)).toEqual(windows);
    });

    // A holder that stood still reads what was handed over before the window ended: its counts are not whole.
    test("not by counts that are read late", () => {
      expect(reporterAt({ b: 6800 }, null, 1000)(7000)).toEqual([]);
      expect(reporterAt({ b: 7800 }, null, 1000)(7900)).toEqual([0]);
    });

    test("only after the other side of a partition is back, where both are to be joined", () => {
      expect(reporterAt({ b: 6800, c: 4000 }, 8000)(12_100)).toEqual([]);
      expect(reporterAt({ b: 21_000, c: 21_000 }, 8000)(21_100)).toEqual([0, 1, 2]);
    });
  });
});
