// Quotas counted as one by all nodes: no window sees more than the bound, whatever fails, and little is refused below it.
import * as quotaPart from "../../src/tenants/quota-part.js";
import * as quotaDays from "../sim/quota-days.js";
import * as quotas from "../sim/quotas.js";
import * as voters from "../sim/voters.js";

const SEEDS = Array.from({ length: 16 }, (_item, index) => index + 1);

test.each(SEEDS)("seed %s: no window of any tenant sees more than its bound", async (seed) => {
  const sim = await quotaDays.storm({ seed, seconds: 40 });
  for (const [tenant, limit] of quotaDays.LIMITS) {
    expect(quotaDays.over(sim, tenant, limit)).toBeLessThanOrEqual(0);
    expect(sim.recordOf(tenant).ran.length).toBeGreaterThan(0);
  }
  expect(sim.recordOf("usual").ran.length).toBeGreaterThan(20);
});

async function calm(sim: quotas.QuotaSim, seconds: number, turn: (step: number) => void): Promise<void> {
  for (let step = 0; step < seconds * 100; step += 1) {
    turn(step);
    await sim.step();
  }
}

/** All owners start again and again, each time after they gave all that they had. */
async function restarting(broken: quotas.Broken): Promise<quotas.QuotaSim> {
  const sim = new quotas.QuotaSim(3, 3, 3, quotaDays.LIMITS, broken);
  sim.join(6, 3);
  await calm(sim, 30, (step) => {
    if (step > 800 && step % 150 === 0) for (const node of sim.nodes) node.start();
    for (const router of sim.routers) if (step > 600) router.request("usual");
  });
  return sim;
}

/** Two of five owners hear nothing of those that took their slots, while every router still reaches all seven. */
async function supplanted(broken: quotas.Broken): Promise<quotas.QuotaSim> {
  const sim = new quotas.QuotaSim(5, 7, 5, quotaDays.LIMITS, broken);
  sim.join(8, 3, 7);
  await calm(sim, 50, (step) => {
    if (step === 1000) sim.isolated.add("d0").add("d1");
    if (step === 1000) expect(sim.changeVoters(["d5", "d1", "d2", "d3", "d4"])).toBe(true);
    if (step === 1500) expect(sim.changeVoters(["d5", "d6", "d2", "d3", "d4"])).toBe(true);
    if (step > 3000) for (const router of sim.routers) router.request("large");
  });
  return sim;
}

/** Routers stand still just after they asked, one after the other, and all go on at once. */
async function frozen(broken: quotas.Broken): Promise<quotas.QuotaSim> {
  const sim = new quotas.QuotaSim(7, 3, 3, quotaDays.LIMITS, broken);
  sim.join(120, 3);
  await calm(sim, 24, (step) => {
    if (step > 400 && step % 10 === 0 && step < 1900) {
      const router = sim.routers[(step / 10) % 120];
      router.request("usual");
      router.frozenUntil = 20_000;
    }
    if (step > 1950) for (const router of sim.routers) if (sim.clock.now() >= router.frozenUntil) router.request("usual");
  });
  return sim;
}

test.each<[quotas.Broken, string, (broken: quotas.Broken) => Promise<quotas.QuotaSim>]>([
  ["full_bucket", "usual", restarting],
  ["no_fence", "large", supplanted],
  ["stale_units", "usual", frozen],
])("the checker sees the broken guard %s, and the bound holds with it", async (broken, tenant, script) => {
  const limit = new Map(quotaDays.LIMITS).get(tenant)!;
  const sound = await script("none");
  expect(quotaDays.over(sound, tenant, limit)).toBeLessThanOrEqual(0);
  expect(sound.recordOf(tenant).ran.length).toBeGreaterThan(25);
  expect(quotaDays.over(await script(broken), tenant, limit)).toBeGreaterThan(0);
});

test("with nine tenths of the requests in one region 0.95 of the limit is let through", async () => {
  const sim = new quotas.QuotaSim(11, 5, 5, quotaDays.LIMITS);
  sim.join(57, 3);
  const [, , remote] = ["g0", "g1", "g2"];
  const near = sim.routers.filter((_router, index) => `g${index % 3}` === remote);
  const far = sim.routers.filter((_router, index) => `g${index % 3}` !== remote);
  await calm(sim, 40, (step) => {
    if (step < 1000 || step % 2 !== 0) return;
    // Twice the limit, evenly: 102 a second.
    const all = step % 20 === 0 ? far : near;
    for (let count = 0; count < 2; count += 1) all[Math.floor(sim.clock.random() * all.length)].request("large");
  });
  const ran = sim.recordOf("large").ran.filter((at) => at > 15_000).length;
  expect(ran / 25 / 51).toBeGreaterThan(0.95);
  expect(quotaDays.over(sim, "large", { perS: 51, burst: 51 })).toBeLessThanOrEqual(0);
});

test("at its usual a tenant is hardly ever refused; one that goes to its limit at once loses under a twentieth of that second", async () => {
  const sim = new quotas.QuotaSim(12, 5, 5, quotaDays.LIMITS);
  sim.join(58, 3);
  const random = sim.clock.random.bind(sim.clock);
  const before = { exhausted: 0, asked: 0 };
  let asked = 0;
  await calm(sim, 130, (step) => {
    const isRush = step >= 12_000 && step < 12_100;
    for (const [tenant, { perS }] of quotaDays.LIMITS) {
      if (step < 300 || random() >= ((isRush ? 1 : 1 / 1.6) * perS) / 100) continue;
      sim.routers[Math.floor(random() * 58)].request(tenant);
      asked += 1;
    }
    if (step !== 11_999) return;
    before.asked = asked;
    for (const [tenant] of quotaDays.LIMITS) before.exhausted += sim.recordOf(tenant).exhausted + sim.recordOf(tenant).unreached;
  });
  let refused = 0;
  for (const [tenant] of quotaDays.LIMITS) refused += sim.recordOf(tenant).exhausted + sim.recordOf(tenant).unreached;
  expect(before.asked).toBeGreaterThan(4000);
  expect(before.exhausted).toBeLessThanOrEqual(before.asked / 1000);
  expect((refused - before.exhausted) / (asked - before.asked)).toBeLessThan(0.05);
});

test("a tenant far over its limit does not cost an ask a request", async () => {
  const sim = new quotas.QuotaSim(13, 5, 5, quotaDays.LIMITS);
  sim.join(58, 3);
  let asked = 0;
  const asksAt = { start: 0 };
  const asks = (): number => sim.routers.reduce((sum, router) => sum + router.asks, 0);
  await calm(sim, 30, (step) => {
    if (step === 1500) asksAt.start = asks();
    for (let count = 0; count < 3; count += 1) {
      sim.routers[Math.floor(sim.clock.random() * 58)].request("usual");
      if (step >= 1500) asked += 1;
    }
  });
  // The word on the configuration is asked for beside: 58 routers, each 0.3 s.
  const words = (15 * 58) / 0.3;
  expect(asks() - asksAt.start).toBeLessThan(words + asked);
  expect(quotaDays.over(sim, "usual", { perS: 6, burst: 6 })).toBeLessThanOrEqual(0);
});

test("a limit that is lowered binds one window later, and raising it again gives no second burst", async () => {
  const sim = new quotas.QuotaSim(14, 5, 5, quotaDays.LIMITS);
  sim.join(20, 3);
  const low = { perS: 5, burst: 5 };
  await calm(sim, 40, (step) => {
    if (step === 1500) sim.setLimits([["large", low]]);
    if (step === 3000) sim.setLimits(quotaDays.LIMITS);
    if (step === 3020) sim.setLimits([["large", low]]);
    if (step > 500) for (const router of sim.routers) if (sim.clock.random() < 0.05) router.request("large");
  });
  const { ran } = sim.recordOf("large");
  const windowMs = 5000;
  const between = (from: number, to: number): number[] => ran.filter((at) => at > from && at < to);
  const bound = quotaPart.boundOf(quotas.BOUNDS, low);
  expect(voters.excess(between(20_000, 30_000), windowMs, () => bound)).toBeLessThanOrEqual(0);
  expect(voters.excess(between(35_300, 40_000), windowMs, () => bound)).toBeLessThanOrEqual(0);
  expect(quotaDays.over(sim, "large", { perS: 51, burst: 51 })).toBeLessThanOrEqual(0);
});

test.each<[string, string[]]>([
  ["one of five is shed", ["d0", "d1", "d2", "d3"]],
  ["one of five is replaced", ["d5", "d1", "d2", "d3", "d4"]],
  ["two of five are replaced at once", ["d5", "d6", "d2", "d3", "d4"]],
  ["five become seven", ["d0", "d1", "d2", "d3", "d4", "d5", "d6"]],
])("when %s, owners that stay go on without a pause, and the bound holds", async (_name, next) => {
  const sim = new quotas.QuotaSim(15, 7, 5, quotaDays.LIMITS);
  sim.join(30, 3, 7);
  const random = sim.clock.random.bind(sim.clock);
  const large = sim.recordOf("large");
  const at = { changed: 0, refused: 0 };
  await calm(sim, 24, (step) => {
    if (step === 1500) {
      expect(sim.changeVoters(next)).toBe(true);
      at.changed = large.ran.length;
      at.refused = large.exhausted + large.unreached;
    }
    // Three fifths of the limit: as much as three of five owners hold.
    if (step > 500 && random() < (0.6 * 51) / 100) sim.routers[Math.floor(random() * 30)].request("large");
  });
  const ran = large.ran.length - at.changed;
  const refused = large.exhausted + large.unreached - at.refused;
  expect(refused / (ran + refused)).toBeLessThan(0.02);
  expect(quotaDays.over(sim, "large", { perS: 51, burst: 51 })).toBeLessThanOrEqual(0);
});
