// The runners as this router sees them: the pushed list and reports, and its own signs (design 7.4).
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as shares from "../shares/shares.js";
import * as log from "../startup/log.js";
import * as cohorts from "./cohort.js";
import * as connections from "./connections.js";
import * as outcomes from "./outcomes.js";
import type * as signs from "./signs.js";

export type Status = "ready" | "draining" | "gone";

const SUSPECT_MS = 700;
const FULL_MS = 150;
const QUIET_STREAM_MS = 400;
const QUIET_START_MS = 1500;
const GONE_KEPT_MS = 120_000;
/** With so much of its batch taken a runner may be slow or deny without a fault. */
const LOADED_SHARE = 0.75;

export class Runner {
  status: Status = "ready";
  coldUntil = 0;
  leavesAt = Infinity;
  inflight = 0;
  streaming = 0;
  others = 0;
  kvShare = 0;
  isSpeaking = true;
  heardAt = 0;
  sentAt = 0;
  fullUntil = 0;
  /** Until when it is taken for silent; whatever is heard of it ends that. */
  private silentUntil = 0;
  private unreportedAt = Infinity;
  /** Sends without a first byte, and when each is overdue. */
  private readonly waiting = new Map<object, number>();
  readonly outcomes: outcomes.Outcomes;
  readonly connections: connections.Connections;
  /** A fixed place in the order of runners, the same at every router. */
  readonly mark: number;

  constructor(readonly instance: schema.Instance, readonly region: string) {
    this.outcomes = new outcomes.Outcomes(instance.id);
    this.connections = new connections.Connections(instance.address, opened);
    this.mark = shares.hash(instance.id);
  }

  get id(): types.RunnerId {
    return this.instance.id;
  }

  /** The one place where a runner changes its state. */
  move(to: Status): void {
    if (this.status === to || this.status === "gone") return;
    if (this.status === "draining" && to === "ready") return;
    this.status = to;
    if (to === "ready") return;
    this.connections.closeIdle();
    this.outcomes.leaveCohort();
  }

  usage(): number {
    return this.inflight + this.others;
  }

  isLoaded(): boolean {
    return this.usage() >= LOADED_SHARE * this.instance.capacity;
  }

  /** It fell silent with work from here. */
  suspect(now: number): void {
    this.sign("silent", now);
    this.silentUntil = Math.max(this.silentUntil, now + SUSPECT_MS);
    log.count("runner.suspected");
  }

  /** Packets may pass one way only: where reports are good, a silent way is a matter of this router alone. */
  sign(sign: signs.Sign, now: number): void {
    this.outcomes.sign(sign, now, this.isLoaded(), sign === "unreached" && this.isSpeaking);
  }

  waits(send: object, overdueAt: number): void {
    this.waiting.set(send, overdueAt);
  }

  waitsNoMore(send: object): void {
    this.waiting.delete(send);
  }

  private signOverdue(now: number): void {
    for (const [send, overdueAt] of this.waiting) {
      if (now < overdueAt) continue;
      this.waiting.delete(send);
      this.sign("overdue", now);
    }
  }

  /** It handed a request back: full for now, or another life has its address. */
  denied(now: number, isOther: boolean): void {
    if (isOther) this.move("gone");
    else this.fullUntil = now + FULL_MS;
  }

  heard(now: number): void {
    this.heardAt = now;
    this.silentUntil = 0;
  }

  /** Nothing came from it for so long, although it has work from here. */
  quietMs(now: number): number {
    return this.inflight === 0 ? 0 : now - Math.max(this.heardAt, this.sentAt);
  }

  isQuiet(now: number): boolean {
    return now < this.silentUntil || this.quietMs(now) > (this.streaming > 0 ? QUIET_STREAM_MS : QUIET_START_MS);
  }

  takeSpeaking(isSpeaking: boolean, now: number): void {
    if (this.isSpeaking && !isSpeaking) this.unreportedAt = now;
    this.isSpeaking = isSpeaking;
  }

  /** A report that stays out is one sign: a reply that came well since then outweighs it. */
  isUnproved(now: number): boolean {
    return !this.isSpeaking && this.outcomes.succeededAt <= this.unreportedAt && now - this.heardAt > QUIET_STREAM_MS;
  }

  isDoubtful(now: number): boolean {
    return this.outcomes.state(now) === "ejected" || this.outcomes.isFailing(now) || this.isQuiet(now) || this.isUnproved(now);
  }

  /** Own evidence that others should hear of, once a while. */
  isNewDoubt(now: number): boolean {
    this.signOverdue(now);
    this.outcomes.state(now);
    return this.outcomes.takeNews(now, this.streaming > 0 && this.quietMs(now) > QUIET_STREAM_MS);
  }

  /** What is out of reach from here counts as silent unless this router hears it. */
  doubt(now: number): void {
    if (now - this.heardAt > QUIET_STREAM_MS) this.silentUntil = Math.max(this.silentUntil, now + SUSPECT_MS);
  }

  isCold(now: number): boolean {
    return now < this.coldUntil;
  }
}

function opened(): void {
  log.count("runner.connections");
}

export class Fleet {
  private readonly runners = new Map<string, Runner>();
  private readonly gone = new Map<string, number>();
  readonly cohorts = new cohorts.Cohorts();
  private byService = new Map<string, Runner[]>();
  hasList = false;

  constructor(private readonly world: types.World, private readonly regionOf: ReadonlyMap<string, string>) {}

  of(service: string): readonly Runner[] {
    return this.byService.get(service) ?? [];
  }

  all(): Iterable<Runner> {
    return this.runners.values();
  }

  takeList(list: readonly schema.Instance[]): void {
    const now = this.world.now();
    this.hasList = true;
    const listed = new Set<string>();
    for (const instance of list) {
      if (this.gone.has(instance.id)) continue;
      listed.add(instance.id);
      this.takeInstance(instance, now);
    }
    for (const runner of this.runners.values()) {
      if (listed.has(runner.id)) continue;
      runner.move("gone");
      this.runners.delete(runner.id);
      this.gone.set(runner.id, now);
    }
    for (const [id, at] of this.gone) if (now - at > GONE_KEPT_MS) this.gone.delete(id);
    this.byService = new Map();
    for (const runner of this.runners.values()) {
      const same = this.byService.get(runner.instance.service);
      if (same) same.push(runner);
      else this.byService.set(runner.instance.service, [runner]);
    }
  }

  private takeInstance(instance: schema.Instance, now: number): void {
    let runner = this.runners.get(instance.id);
    if (!runner) {
      runner = new Runner(instance, this.regionOf.get(instance.zone) ?? instance.zone);
      this.runners.set(instance.id, runner);
      runner.outcomes.joinCohort(this.cohorts.of(instance.service, runner.region));
    }
    if (instance.coldMs > 0) runner.coldUntil = Math.max(runner.coldUntil, now + instance.coldMs);
    if (instance.leavesMs >= 0) runner.leavesAt = Math.min(runner.leavesAt, now + instance.leavesMs);
    if (instance.isDraining) runner.move("draining");
  }

  takeReport(report: schema.CellReport): void {
    for (const item of report.reports) {
      const runner = this.runners.get(item.id);
      if (!runner) continue;
      runner.takeSpeaking(item.isSpeaking, this.world.now());
      if (!item.isSpeaking) continue;
      runner.others = Math.max(0, item.active + item.waiting - runner.inflight);
      runner.kvShare = item.kvCapacity > 0 ? item.kvUsed / item.kvCapacity : 0;
    }
  }

  takeDoubt(ids: readonly string[]): void {
    for (const id of ids) this.runners.get(id)?.outcomes.told(this.world.now());
  }

  doubtRegion(region: string): void {
    const now = this.world.now();
    for (const runner of this.runners.values()) if (runner.region === region) runner.doubt(now);
  }

  newDoubts(): types.RunnerId[] {
    const now = this.world.now();
    const ids: types.RunnerId[] = [];
    for (const runner of this.runners.values()) if (runner.isNewDoubt(now)) ids.push(runner.id);
    return ids;
  }

  closeIdle(): void {
    for (const runner of this.runners.values()) runner.connections.closeIdle();
  }

  /** A zone that is taken back may have turned cold meanwhile: it counts as cold until it is known to be warm. */
  chill(zone: string, ms: number): void {
    const until = this.world.now() + ms;
    for (const runner of this.runners.values()) {
      if (runner.instance.zone === zone) runner.coldUntil = Math.max(runner.coldUntil, until);
    }
  }
}
