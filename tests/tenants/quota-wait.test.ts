// How long requests wait for units of their tenants' quotas, with all owners there and with one lost (design/tenants 4.4).
import * as quantile from "../sim/quantile.js";
import * as quotas from "../sim/quotas.js";

const ROUTERS = 72;
const REGIONS = 3;
const TENANTS = 40;
/** Requests a second of all tenants at their usual, and how many times that their limits are. */
const PER_S = 240;
const HEADROOM = 1.6;
/** Steps of the simulation are 10 ms. */
const STEPS_A_SECOND = 100;
const FIRST_REQUEST_S = 5;
const LOST_AT_S = 20;
const LOST_FOR_S = 5;
const END_S = 32;

/** Seconds from and to. */
type Span = [from: number, to: number];
const CALM: Span = [10, LOST_AT_S];
const LOST: Span = [LOST_AT_S, LOST_AT_S + LOST_FOR_S];

interface Waits {
  ms: number[];
  refused: number;
}

type Limits = [string, { perS: number; burst: number }][];

/** Tenants by size, the first as large as the next two and more together. */
function limitsOfAll(): Limits {
  const weights = Array.from({ length: TENANTS }, (_item, index) => 1 / (index + 1));
  const sum = weights.reduce((left, right) => left + right, 0);
  return weights.map((weight, index) => {
    const perS = (PER_S * HEADROOM * weight) / sum;
    return [`t${index}`, { perS, burst: perS }];
  });
}

/** Waits in each region during the span; the owner of the third region, which has one alone, is lost for a while. */
async function play(seed: number, [from, to]: Span): Promise<Waits[]> {
  const limits = limitsOfAll();
  const sim = new quotas.QuotaSim(seed, 5, 5, limits);
  sim.join(ROUTERS, REGIONS);
  const random = sim.clock.random.bind(sim.clock);
  const waits = Array.from({ length: REGIONS }, (): Waits => ({ ms: [], refused: 0 }));
  function request(tenant: string, isMeasured: boolean): void {
    const startedAt = sim.clock.now();
    const index = Math.floor(random() * ROUTERS);
    const into = waits[index % REGIONS];
    sim.routers[index].client.claim(tenant, (verdict) => {
      if (!isMeasured) return;
      if (verdict.kind === "granted") into.ms.push(sim.clock.now() - startedAt);
      else into.refused += 1;
    });
  }
  for (let step = 0; step < END_S * STEPS_A_SECOND; step += 1) {
    const second = step / STEPS_A_SECOND;
    if (second === LOST_AT_S) {
      sim.nodes[2].downUntil = sim.clock.now() + LOST_FOR_S * 1000;
      sim.nodes[2].start();
    }
    for (const [tenant, { perS }] of limits) {
      if (second >= FIRST_REQUEST_S && random() < perS / HEADROOM / STEPS_A_SECOND) request(tenant, second >= from && second < to);
    }
    await sim.step();
  }
  for (const { ms } of waits) ms.sort((left, right) => left - right);
  return waits;
}

function tell(name: string, waits: readonly Waits[]): void {
  for (const [region, { ms, refused }] of waits.entries()) {
    const [median, most] = [0.5, 0.99].map((share) => quantile.quantile(ms, share));
    process.stderr.write(`${name}, region ${region}: ${ms.length} granted, median ${median} ms, p99 ${most} ms, ${refused} refused\n`);
  }
}

test("in calm times units are there within a trip in the own region, and at the 99th percentile within one to another", async () => {
  const waits = await play(1, CALM);
  tell("calm", waits);
  for (const { ms, refused } of waits) {
    expect(quantile.quantile(ms, 0.5)).toBeLessThanOrEqual(20);
    expect(quantile.quantile(ms, 0.99)).toBeLessThanOrEqual(150);
    expect(refused / (ms.length + refused)).toBeLessThan(0.002);
  }
});

test("with the one owner of a region lost its routers wait for a trip to another region, and not for the lost one", async () => {
  const waits = await play(1, LOST);
  tell("an owner lost", waits);
  expect(quantile.quantile(waits[2].ms, 0.5)).toBeLessThanOrEqual(130);
  for (const { ms, refused } of waits) {
    expect(quantile.quantile(ms, 0.99)).toBeLessThanOrEqual(350);
    expect(refused / (ms.length + refused)).toBeLessThan(0.01);
  }
});
