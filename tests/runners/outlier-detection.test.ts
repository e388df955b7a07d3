// Status of runners from outcomes (design/status): seeded plays of grey, lying, flapping and half reachable runners.
import * as peerGroup from "../../src/runners/peer-group.js";
import * as outlierDetection from "../../src/runners/outlier-detection.js";
import * as failureKind from "../../src/runners/failure-kind.js";
import * as types from "../../src/wire/types.js";
import * as simulatedRunners from "../sim/simulated-runners.js";

const SHAPE = { seed: 5, routers: 12, regions: 3, runnersEach: 8, perS: 150 };
const ONSET_S = 5;
const END_S = 13;
const BAD = new Set(["r0-1", "r1-4", "r2-7"]);

function isBad(id: string): boolean {
  return BAD.has(id);
}

function isGood(id: string): boolean {
  return !BAD.has(id);
}

function during(now: number): boolean {
  return now >= ONSET_S * 1000 && now < END_S * 1000;
}

function grey(answer: simulatedRunners.Answer, share: number): simulatedRunners.Play {
  return (runner, _router, now, chance) => (isBad(runner.id) && during(now) && chance < share ? answer : "fine");
}

function flap(runner: { id: string }, _router: number, now: number): simulatedRunners.Answer {
  return isBad(runner.id) && during(now) && Math.floor((now - ONSET_S * 1000) / 700) % 2 === 0 ? "refused" : "fine";
}

/** What the runners do, and the most of all requests that still meet it after two seconds. */
const PLAYS: [string, simulatedRunners.Play, number][] = [
  ["30 % errors", grey("error", 0.3), 0.015],
  ["50 % errors", grey("error", 0.5), 0.015],
  ["50 % cut off", grey("cut", 0.5), 0.015],
  ["40 % hang", grey("hang", 0.4), 0.015],
  ["45 % shed", grey("shed", 0.45), 0.015],
  ["eight times slower", grey("slow", 1), 0.015],
  ["good reports and only errors", grey("error", 1), 0.015],
  ["good reports and only silence", grey("hang", 1), 0.01],
  ["down and up each 1.4 s", flap, 0.015],
];

describe.each(PLAYS)("a tenth of the runners: %s", (_name, play, bound) => {
  const played = new simulatedRunners.RunnersSim({ ...SHAPE, play });
  beforeAll(() => played.play(END_S + 11));

  test("requests go to other runners after a second or two", () => {
    const before = played.sentShare(0, ONSET_S, isBad);
    expect(before).toBeGreaterThan(0.07);
    expect(played.sentShare(ONSET_S + 2, END_S, isBad)).toBeLessThan(before * 0.25);
    expect(played.badShare(ONSET_S + 2, END_S)).toBeLessThan(bound);
  });

  test("good runners stay in use, recovered ones are fully used within seconds, and states settle", () => {
    expect(played.changes.filter(([, , id, to]) => isGood(id) && to === "ejected").length).toBeLessThanOrEqual(2);
    expect(played.changes.some(([, , id, to]) => isBad(id) && to === "ejected")).toBe(true);
    expect(played.sentShare(END_S + 6, END_S + 11, isBad)).toBeGreaterThan(played.sentShare(0, ONSET_S, isBad) * 0.75);
    expect(played.states(isBad).filter((state) => state === "ejected")).toEqual([]);
    const pairs = new Map<string, number>();
    for (const [, router, id, to] of played.changes)
      if (to === "ejected") pairs.set(`${router} ${id}`, (pairs.get(`${router} ${id}`) ?? 0) + 1);
    expect(Math.max(...pairs.values())).toBeLessThanOrEqual(4);
  });
});

test("a fault of a whole region ejects at most a third of its runners, and no good runner elsewhere", () => {
  const play: simulatedRunners.Play = (runner, _router, now, chance) =>
    runner.region === "r1" && during(now) && chance < 0.5 ? "error" : "fine";
  const played = new simulatedRunners.RunnersSim({ ...SHAPE, play });
  for (let at = ONSET_S; at < END_S; at += 0.5) {
    played.play(at);
    for (const router of played.routers) {
      const out = [...router.fleet.all()].filter((runner) => runner.outliers.update(played.clock.now()) === "ejected");
      expect(out.filter((runner) => runner.region === "r1").length).toBeLessThanOrEqual(3);
      expect(out.filter((runner) => runner.region !== "r1")).toEqual([]);
    }
  }
});

test("a few failures all over the fleet eject hardly any runner", () => {
  const play: simulatedRunners.Play = (_runner, _router, _now, chance) => (chance < 0.03 ? "cut" : "fine");
  const played = new simulatedRunners.RunnersSim({ ...SHAPE, play });
  played.play(20);
  const outs = played.changes.filter(([, , , to]) => to === "ejected").length;
  // 12 routers see 24 runners each for 20 s.
  expect(outs).toBeLessThan(12 * 24 * 0.1);
});

test("good runners that are reported as failing stay in use at lower preference", () => {
  const isSpeaking = (id: string, now: number): boolean => !(isBad(id) && during(now));
  const played = new simulatedRunners.RunnersSim({ ...SHAPE, play: () => "fine", isSpeaking });
  played.play(END_S + 3);
  const usual = played.sentShare(0, ONSET_S, isBad);
  const share = played.sentShare(ONSET_S + 4, END_S, isBad);
  expect(share).toBeGreaterThan(usual * 0.1);
  expect(share).toBeLessThan(usual);
  expect(played.changes).toEqual([]);
  expect(played.sentShare(END_S + 1, END_S + 3, isBad)).toBeGreaterThan(usual * 0.7);
});

test("a network path that fails from one router alone is avoided there, and other routers are not told", () => {
  const play: simulatedRunners.Play = (runner, router, now) => (router === 0 && isBad(runner.id) && during(now) ? "unreached" : "fine");
  const played = new simulatedRunners.RunnersSim({ ...SHAPE, play });
  played.play(END_S + 8);
  expect(played.changes.filter(([, router]) => router !== 0)).toEqual([]);
  expect(played.changes.filter(([, router, , to]) => router === 0 && to === "ejected").length).toBeGreaterThan(0);
  expect(played.met.filter((item) => item.at >= (ONSET_S + 2) * 1000 && item.answer === "unreached").length).toBeLessThanOrEqual(15);
  expect(played.states(isBad).filter((state) => state !== "good")).toEqual([]);
});

function peersOf(count: number): outlierDetection.OutlierDetector[] {
  const cohort = new peerGroup.PeerGroup();
  return Array.from({ length: count }, (_item, index) => {
    const made = new outlierDetection.OutlierDetector(types.small(`i-${index}`));
    made.joinPeerGroup(cohort);
    return made;
  });
}

test.each([
  [1, 0],
  [2, 1],
  [3, 1],
  [6, 2],
  [9, 3],
  [10, 3],
])("of %s runners at most %s are ejected", (count, most) => {
  const all = peersOf(count);
  for (let at = 0; at < 2000; at += 100) for (const [index, item] of all.entries()) item.recordFailure("error", at + index * 3, false);
  expect(all.filter((item) => item.update(2000) === "ejected").length).toBeLessThanOrEqual(most);
});

test.each([...failureKind.FAILURE_WEIGHTS.keys()])("one failure of kind %s alone ejects nobody", (kind) => {
  const [first] = peersOf(9);
  first.recordFailure(kind, 10, false);
  expect(["good", "suspected"]).toContain(first.update(11));
});

test.each([...failureKind.LOAD_RELATED_FAILURES])("a failure of kind %s is ignored for a runner under load", (kind) => {
  const [first] = peersOf(9);
  for (let at = 0; at < 3000; at += 100) first.recordFailure(kind, at, true);
  expect([first.update(3000), first.rates(3000).score]).toEqual(["good", 0]);
});

test("one report ejects nobody, two of different routers do, and many successes of its own outweigh them", () => {
  const [told, alone, known] = peersOf(9);
  alone.recordRemoteReport(0);
  alone.recordRemoteReport(1000);
  expect(alone.update(1001)).toBe("suspected");
  told.recordRemoteReport(0);
  told.recordRemoteReport(50);
  expect(told.update(51)).toBe("ejected");
  for (let at = 0; at < 20; at += 1) known.recordSuccess(at);
  for (let at = 20; at < 80; at += 20) known.recordRemoteReport(at);
  expect(known.update(80)).toBe("suspected");
});

test("each ejection within a while is longer, and probation admits by steps, repeatable requests first", () => {
  const [first] = peersOf(9);
  const lengths: number[] = [];
  let now = 0;
  for (let turn = 0; turn < 5; turn += 1) {
    first.recordFailure("error", now, false);
    first.recordFailure("error", now + 10, false);
    expect(first.update(now + 10)).toBe("ejected");
    const from = now + 10;
    for (now = from; first.update(now) === "ejected"; now += 10) continue;
    lengths.push(now - from);
    expect(first.update(now)).toBe("probation");
  }
  for (const [index, length] of lengths.slice(1).entries()) expect(length).toBeGreaterThanOrEqual(lengths[index]);
  expect(lengths[0]).toBeGreaterThanOrEqual(1000);
  expect(lengths[4]).toBeGreaterThan(4000);
  expect(lengths[4]).toBeLessThanOrEqual(6100);
  const admitted = (at: number, isRepeatable: boolean): number =>
    Array.from({ length: 1000 }, (_item, id) => first.admits(now + at, isRepeatable, types.small(`r${id}`))).filter(Boolean).length / 10;
  expect([100, 700, 1300, 1900].map((at) => admitted(at, false))).toEqual([0, 0, 0, 0]);
  first.recordSuccess(now + 50);
  expect([100, 700, 1300, 1900].map((at) => admitted(at, false))).toEqual([0, 0, 50, 75].map((percent) => expect.closeTo(percent, -1)));
  expect([100, 700, 1300, 1900, 2500].map((at) => admitted(at, true))).toEqual(
    [10, 25, 50, 75, 100].map((percent) => expect.closeTo(percent, -1)),
  );
  expect(first.update(now + 2500)).toBe("good");
});

test("a success ends the backoff after a failure", () => {
  const [first] = peersOf(9);
  first.recordFailure("error", 10, false);
  expect(first.isFailing(20)).toBe(true);
  first.recordSuccess(30);
  expect(first.isFailing(31)).toBe(false);
});
