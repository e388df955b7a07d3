// Statistics of admission decisions for `status` and the log (design/admission 10).
import * as admissionStats from "../../src/admission/admission-stats.js";
import * as simulatedClock from "../sim/simulated-clock.js";

test("records times of rejections, outcomes by rank and unused capacity, and detects the end of a shortage", async () => {
  const clock = new simulatedClock.SimulatedClock(1);
  const stats = new admissionStats.AdmissionStats(clock);
  for (let count = 1; count <= 99; count += 1) stats.recordRejection(0.5, "no room", false);
  stats.recordRejection(40, "no room", false);
  stats.recordRejection(300, "handed back", true);
  stats.recordOutcome("whole", 0);
  stats.recordOutcome("late", 1);
  stats.recordUnusedCapacity({ runners: 1, places: 8, freePlaces: 2, waiting: 0, tokens: 0, freeTokens: 0, readMs: 0 });
  expect(stats.status()).toMatchObject({
    ends: { whole_rank_0: 1, late_rank_1: 1 },
    causes: { "no room": 100, "handed back": 1 },
    unusedPercent: { count: 1 },
    refusedAtDoorMs: { count: 100, p50: 0.5, p99: 0.5 },
    refusedAfterSendMs: { count: 1 },
  });
  // The histograms keep two figures.
  const { refusedAtDoorMs: atDoor, unusedPercent: unused } = stats.status() as {
    refusedAtDoorMs: { worst: number };
    unusedPercent: { p50: number };
  };
  expect([Math.round(atDoor.worst), Math.round(unused.p50)]).toEqual([40, 25]);
  stats.detectRecovery();
  expect(stats.isRejecting).toBe(true);
  await clock.play(3100);
  stats.detectRecovery();
  expect(stats.isRejecting).toBe(false);
});
