// The duties at the platform under faults: one holder at a time, its fence, and reports that never change (design/duties 3, 4).
import * as dutyTable from "../../src/duties/duty-table.js";
import * as history from "./history.js";

const SEEDS = 150;

describe("duties", () => {
  test("random histories of nodes that crash, freeze and are cut off", async () => {
    const failed: string[] = [];
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const verdict = await new history.DutyHistory(seed, "none").play();
      if (verdict) failed.push(`seed ${seed}: ${verdict}`);
    }
    expect(failed).toEqual([]);
  });

  test.each<[history.Guard, RegExp]>([
    ["margin", /after|acts again/],
    ["wait", /after|acts again/],
    ["durable", /two nodes|after|other counts/],
  ])(
    "the checker sees that a guard is missing: %s",
    async (guard, expected) => {
      let seen: string | null = null;
      for (let seed = 1; seed <= SEEDS && !seen; seed += 1) {
        const verdict = await new history.DutyHistory(seed, guard).play();
        if (verdict && expected.test(verdict)) seen = verdict;
      }
      expect(seen).toMatch(expected);
    },
    120_000,
  );

  const claim = dutyTable.claimStep(dutyTable.EMPTY, history.CLAIMANT);
  const report = { window: 7, counts: '{"t":1}' };

  test("a claim counts only on the lease that was observed, under the next fence", () => {
    expect(history.tableAfter(claim)).toMatchObject({ holder: "a", life: "a/1", fence: 1 });
    expect(history.tableAfter(claim, claim)).toBe("not_ready");
  });

  test("a renewal needs fence and incarnation of the holder; a decided window is never decided again", () => {
    const decide = (counts: string, life = "a/1", fence = 1) =>
      dutyTable.renewStep(fence, life, { ...dutyTable.NO_CHANGES, decided: [{ window: 7, counts }] });
    expect(history.tableAfter(claim, decide(report.counts, "a/2"))).toBe("not_ready");
    expect(history.tableAfter(claim, decide(report.counts, "a/1", 2))).toBe("not_ready");
    const accept = dutyTable.renewStep(1, "a/1", { ...dutyTable.NO_CHANGES, accepted: new Set([7]) });
    expect(history.tableAfter(claim, decide(report.counts), decide("{}"))).toMatchObject({ reports: [report], decidedThrough: 7 });
    expect(history.tableAfter(claim, decide(report.counts), accept, decide("{}"))).toMatchObject({ reports: [], decidedThrough: 7 });
  });
});
