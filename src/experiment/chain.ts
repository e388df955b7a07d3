/** What one choice of the chain (design 7.2) costs a router, by the runners of the service (docs/experiment.md). */
import * as admissions from "../admission/admission.js";
import * as runnerFleet from "../runners/runner-fleet.js";
import type * as routePlan from "../routing/route-plan.js";
import type * as policyChain from "../router/policies/policy-chain.js";
import * as promptParts from "../routing/prompt-parts.js";
import * as admissionPolicy from "../router/policies/admission-policy.js";
import * as cellPolicy from "../router/policies/cell-policy.js";
import * as homesPolicy from "../router/policies/homes-policy.js";
import * as runnerPolicy from "../router/policies/runner-policy.js";
import * as prefillTracker from "../runners/prefill-tracker.js";
import * as zoneRotation from "../runners/zone-rotation.js";
import type * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as rows from "./rows.js";

const SERVICE = "model-1";
const CAPACITY = 16;
const KV_CAPACITY = 100_000;
/** Of 64 beginnings each runner keeps some. */
const BEGINNINGS = 64;
const SHARED_TOKENS = 3000;
const OWN_TOKENS = 400;
const DEADLINE_MS = 15_000;
const WARM_TIMES = 30;
const MICROSECONDS = 1000;

/** Runners of one service: so many in each of so many regions. */
export interface Fleet {
  regions: number;
  runnersEach: number;
}

/**
 * One choice, in microseconds: processor time of the whole by the mean, and by the steady clock the 50th of each policy and the
 * 50th and 99th of the whole. Other work on the machine is in the 99th.
 */
export interface ChainRow extends Fleet {
  prompt: "none" | "shared";
  times: number;
  processorUs: number;
  homesUs: number;
  cellsUs: number;
  runnerUs: number;
  admissionUs: number;
  p50Us: number;
  p99Us: number;
}

/** The last: 5,500 runners of twelve services over thirteen regions. */
export const FLEETS: readonly Fleet[] = [
  { regions: 1, runnersEach: 24 },
  { regions: 1, runnersEach: 240 },
  { regions: 1, runnersEach: 2400 },
  { regions: 13, runnersEach: 35 },
];

/** The one route of the experiment. */
export const ENTRY = {
  route: {
    name: "chain",
    hostname: "chain.example",
    path_prefix: "/",
    route_type: "streaming",
    service: SERVICE,
    deadline_ms: DEADLINE_MS,
    priority: 1,
  },
  backends: [{ service: SERVICE, weight: 1 }],
  weight: 1,
  homes: [],
  isRepeatable: true,
} satisfies routePlan.RoutePlan["entry"];

function instanceOf(region: string, index: number): schema.Instance {
  return {
    id: types.small(`i-${region}-${index}`),
    service: SERVICE,
    address: "127.0.0.1:1",
    zone: region,
    capacity: CAPACITY,
    isDraining: false,
    coldMs: 0,
    leavesMs: -1,
  };
}

/** A router's policies over a fleet of the given size, without links. */
export class Chain {
  private readonly fleet: runnerFleet.RunnerFleet;
  private readonly known = new prefillTracker.PrefillTracker();
  private readonly policies: policyChain.Policy[];

  constructor(
    private readonly clock: types.Clock,
    size: Fleet,
  ) {
    this.fleet = new runnerFleet.RunnerFleet(clock, new Map());
    const listed: schema.Instance[] = [];
    const regions: string[] = [];
    for (let region = 0; region < size.regions; region += 1) regions.push(`region-${region}`);
    for (const region of regions) for (let index = 0; index < size.runnersEach; index += 1) listed.push(instanceOf(region, index));
    this.fleet.applySnapshot(listed);
    const admission = new admissions.Admission(clock, {
      runners: this.fleet.inRegion.bind(this.fleet),
      prefill: this.known,
      routerCount: one,
    });
    this.policies = [
      new homesPolicy.HomesPolicy(this.fleet, new zoneRotation.ZoneRotation(clock)),
      new cellPolicy.CellPolicy(regions[0], this.fleet.summaries),
      new runnerPolicy.RunnerPolicy(this.known),
      new admissionPolicy.AdmissionPolicy(admission),
    ];
    for (const region of regions) this.report(region, admission);
  }

  /** Runners half full, each with some beginnings of prompts kept. */
  private report(region: string, admission: admissions.Admission): void {
    const reports: schema.Report[] = [];
    for (const runner of this.fleet.all()) {
      if (runner.region !== region) continue;
      const active = Math.floor(this.clock.random() * CAPACITY);
      reports.push({
        id: runner.id,
        isSpeaking: true,
        waiting: 0,
        active,
        kvUsed: Math.floor((KV_CAPACITY * active) / CAPACITY),
        kvCapacity: KV_CAPACITY,
      });
      const shared = this.prompt().slice(0, -1);
      this.known.recordPrefill(runner.id, 0, promptParts.prefixKeys(shared), this.clock.now());
    }
    this.fleet.applyReport({ region, reports });
    admission.applyReport({ region, reports });
  }

  private prompt(): promptParts.PromptPart[] {
    const beginning = Math.floor(this.clock.random() * BEGINNINGS);
    return [
      { id: `b-${beginning}`, tokens: SHARED_TOKENS },
      { id: `m-${beginning}`, tokens: OWN_TOKENS },
      { id: `o-${this.clock.random()}`, tokens: OWN_TOKENS },
    ];
  }

  /** Microseconds of each policy for one request. */
  once(prompt: ChainRow["prompt"]): number[] {
    const parts = prompt === "none" ? [] : this.prompt();
    const shared = parts.slice(0, -1);
    const now = this.clock.now();
    let sharedTokens = 0;
    for (const part of shared) sharedTokens += part.tokens;
    const plan: routePlan.RoutePlan = {
      requestId: types.small(`r-${this.clock.random()}`),
      entry: ENTRY,
      service: SERVICE,
      parts,
      sharedParts: shared,
      sharedTokens,
      prefixKeys: promptParts.prefixKeys(parts),
      attemptedRunners: new Set(),
      now,
      deadline: now + DEADLINE_MS,
      requestedTokens: { prompt: 0, maxOutput: 200 },
      retryKey: 0,
      rank: 1,
      isBatch: false,
      tenant: null,
      cells: [],
      candidates: [],
    };
    const took: number[] = [];
    for (const policy of this.policies) {
      const startedAt = process.hrtime.bigint();
      const rejection = policy.apply(plan);
      took.push(Number(process.hrtime.bigint() - startedAt) / MICROSECONDS);
      if (rejection) throw new Error(`the ${policy.name} policy denies: ${rejection.cause}`);
    }
    return took;
  }
}

function one(): number {
  return 1;
}

function sum(values: readonly number[]): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}

/** Times `times` choices at one fleet. */
export function measure(clock: types.Clock, size: Fleet, prompt: ChainRow["prompt"], times: number): ChainRow {
  const chain = new Chain(clock, size);
  for (let index = 0; index < WARM_TIMES; index += 1) chain.once(prompt);
  const before = process.cpuUsage();
  const each: number[][] = [];
  for (let index = 0; index < times; index += 1) each.push(chain.once(prompt));
  const { user, system } = process.cpuUsage(before);
  const all = each.map(sum);
  function medianOf(policy: number): number {
    function tookBy(took: readonly number[]): number {
      return took[policy];
    }
    return rows.quantile(each.map(tookBy), 0.5);
  }
  const [homesUs, cellsUs, runnerUs, admissionUs] = [0, 1, 2, 3].map(medianOf) as [number, number, number, number];
  return {
    ...size,
    prompt,
    times,
    processorUs: (user + system) / times,
    homesUs,
    cellsUs,
    runnerUs,
    admissionUs,
    p50Us: rows.quantile(all, 0.5),
    p99Us: rows.quantile(all, 0.99),
  };
}

/** All fleets, with and without shared prompts. */
export function table(clock: types.Clock, times: number): ChainRow[] {
  const found: ChainRow[] = [];
  for (const size of FLEETS) for (const prompt of ["none", "shared"] as const) found.push(measure(clock, size, prompt, times));
  return found;
}
