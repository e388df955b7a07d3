// The calls under a fencing token as the platform sees them, and what their replies mean (design/duties 5).
import * as platformDuties from "../../src/duties/platform-duties.js";
import * as platformEmulator from "../../src/emulator/platform-emulator.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const HOLDER: platformDuties.DutyHolder = { name: "control-a", fence: 4 };
const REPORT = { window: 353445120, counts: '{"kaje80":412}' };

describe("calls of duties", () => {
  const clock = new simulatedClock.SkewedClock();
  let platform: platformEmulator.PlatformEmulator;
  let duties: platformDuties.PlatformDuties;

  beforeEach(async () => {
    platform = new platformEmulator.PlatformEmulator();
    await platform.start();
    duties = new platformDuties.PlatformDuties(clock, platform.address);
  });

  afterEach(() => {
    duties.close();
    platform.stop();
  });

  test("a usage report and an order carry holder, fence and what was decided", async () => {
    expect(await duties.reportUsage(HOLDER, REPORT)).toBe("accepted");
    expect(await duties.orderRunners(HOLDER, { service: "huvo11a", zone: "amman-hall-a", desired: 6 })).toBe("accepted");
    expect(platform.dutyCalls).toEqual([
      { path: "/usage", holder: "control-a", fence: 4, body: { window_id: 353445120, counts: { kaje80: 412 } } },
      { path: "/scaling", holder: "control-a", fence: 4, body: { service: "huvo11a", zone: "amman-hall-a", desired_count: 6 } },
    ]);
  });

  test("a lower fence than one that was seen is told from other refusals", async () => {
    await duties.reportUsage({ ...HOLDER, fence: 5 }, REPORT);
    expect(await duties.reportUsage(HOLDER, REPORT)).toBe("fenced");
  });

  test.each<[number, platformDuties.DutyOutcome]>([
    [400, "invalid"],
    [429, "unknown"],
    [503, "unknown"],
    [0, "unknown"],
  ])("status %d (0: none) means %s, and the next call goes through", async (status, outcome) => {
    platform.duties.status = status;
    expect(await duties.reportUsage(HOLDER, REPORT)).toBe(outcome);
    platform.duties.status = 200;
    expect(await duties.reportUsage(HOLDER, REPORT)).toBe("accepted");
  });
});
