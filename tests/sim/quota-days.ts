// Days of quotas by seed: everybody asks for thrice the limit while nodes fail. Played by the tests and by `npm run model`.
import * as quotaPart from "../../src/tenants/quota-part.js";
import * as quotas from "./quotas.js";
import * as voters from "./voters.js";

export const LIMITS: [string, quotaPart.Limit][] = [
  ["large", { perS: 51, burst: 51 }],
  ["usual", { perS: 6, burst: 6 }],
  ["small", { perS: 0.8, burst: 0 }],
];

/** The most that any window saw beyond the bound. */
export function over(sim: quotas.QuotaSim, tenant: string, limit: quotaPart.Limit): number {
  const windowMs = quotas.BOUNDS.quota_window_s * 1000;
  return voters.excess(sim.recordOf(tenant).ran, windowMs, () => quotaPart.boundOf(quotas.BOUNDS, limit));
}

export interface Play {
  seed: number;
  seconds: number;
  broken?: quotas.Broken;
}

/** Everybody asks for twice the limit or more, while nodes fail. */
export async function storm({ seed, seconds, broken = "none" }: Play): Promise<quotas.QuotaSim> {
  const voting = seed % 2 === 0 ? 3 : 5;
  const sim = new quotas.QuotaSim(seed, voting + 1, voting, LIMITS, broken);
  sim.join(12, 3);
  const random = sim.clock.random.bind(sim.clock);
  const pick = <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)];
  for (let step = 0; step < seconds * 100; step += 1) {
    if (random() < 0.008) fault(sim, pick);
    for (const [tenant, { perS }] of LIMITS) {
      const wanted = step % 700 < 500 ? (3 * perS) / 100 : 0;
      for (let left = wanted; left > 0; left -= 1) if (random() < left) request(sim, pick, tenant);
    }
    await sim.step();
  }
  return sim;
}

function request(sim: quotas.QuotaSim, pick: <T>(items: readonly T[]) => T, tenant: string): void {
  const router = pick(sim.routers);
  if (sim.clock.now() >= router.frozenUntil) router.request(tenant);
}

function fault(sim: quotas.QuotaSim, pick: <T>(items: readonly T[]) => T): void {
  const random = sim.clock.random.bind(sim.clock);
  const now = sim.clock.now();
  const node = pick(sim.nodes);
  const kind = Math.floor(random() * 8);
  if (kind === 0) {
    node.downUntil = now + random() * 1000;
    node.start();
  } else if (kind === 1) node.frozenUntil = now + random() * 4000;
  else if (kind === 2) sim.cuts.add(node.disk);
  else if (kind === 3) sim.isolated.add(node.disk);
  else if (kind === 4) sim.cuts.add(`${pick(sim.routers).name}>${node.disk}`);
  else if (kind === 5) pick(sim.routers).frozenUntil = now + random() * 3000;
  else if (kind === 6) changeVoters(sim, pick);
  else {
    sim.cuts.clear();
    sim.isolated.clear();
  }
}

function changeVoters(sim: quotas.QuotaSim, pick: <T>(items: readonly T[]) => T): void {
  const now = sim.value.voters.map((voter) => voter.disk);
  const spare = sim.nodes.map((node) => node.disk).filter((disk) => !now.includes(disk));
  const gone = pick(now);
  if (spare.length > 0 && sim.clock.random() < 0.7) sim.changeVoters(now.map((disk) => (disk === gone ? spare[0] : disk)));
  else if (spare.length > 0) sim.changeVoters([...now, spare[0]]);
  else if (now.length > 3) sim.changeVoters(now.filter((disk) => disk !== gone));
}
