// The runners as this router sees them: the pushed list and reports, and its own signs (design 7.4).
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as shares from "../shares/shares.js";
import * as log from "../startup/log.js";
import * as summaries from "../usage/summary.js";
import * as connections from "./connections.js";

export type Status = "ready" | "draining" | "gone";

const SUSPECT_MS = 700;
const MOST_SUSPECT_MS = 4000;
const FULL_MS = 150;
const QUIET_STREAM_MS = 400;
const QUIET_START_MS = 1500;
const GONE_KEPT_MS = 120_000;

export class Runner {
  status: Status = "ready";
  coldUntil = 0;
  leavesAt = Infinity;
  inflight = 0;
  streaming = 0;
  others = 0;
  /** As reported last; faded while the reports of its region are stale (design/usage 3.4). */
  active = 0;
  waiting = 0;
  kvUsed = 0;
  kvCapacity = 0;
  isSpeaking = true;
  heardAt = 0;
  sentAt = 0;
  fullUntil = 0;
  private toldAt = 0;
  private suspectUntil = 0;
  private suspicions = 0;
  readonly connections: connections.Connections;
  /** A fixed place in the order of runners, the same at every router. */
  readonly mark: number;

  constructor(readonly instance: schema.Instance, readonly region: string) {
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
    if (to !== "ready") this.connections.closeIdle();
  }

  usage(): number {
    return this.inflight + this.others;
  }

  get kvShare(): number {
    return this.kvCapacity > 0 ? this.kvUsed / this.kvCapacity : 0;
  }

  takeReport(report: schema.Report): void {
    this.isSpeaking = report.isSpeaking;
    if (!report.isSpeaking) return;
    this.active = report.active;
    this.waiting = report.waiting;
    this.kvUsed = report.kvUsed;
    this.kvCapacity = report.kvCapacity;
    this.rebase();
  }

  /** What it has from others is what was told less what it has from here. */
  rebase(): void {
    if (this.isSpeaking) this.others = Math.max(0, this.active + this.waiting - this.inflight);
  }

  /** Nothing new was told: part by part it counts as unknown. */
  fade(by: number): void {
    this.active *= by;
    this.waiting *= by;
    this.kvUsed *= by;
    this.others *= by;
  }

  forgetReport(): void {
    this.fade(0);
    this.isSpeaking = true;
  }

  suspect(now: number): void {
    this.suspicions = Math.min(6, this.suspicions + 1);
    this.suspectUntil = now + Math.min(MOST_SUSPECT_MS, SUSPECT_MS * this.suspicions);
    log.count("runner.suspected");
  }

  /** It handed a request back: full for now, or another life has its address. */
  denied(now: number, isOther: boolean): void {
    if (isOther) this.move("gone");
    else this.fullUntil = now + FULL_MS;
  }

  heard(now: number): void {
    this.heardAt = now;
    this.suspicions = 0;
    this.suspectUntil = 0;
  }

  /** Nothing came from it for so long, although it has work from here. */
  quietMs(now: number): number {
    return this.inflight === 0 ? 0 : now - Math.max(this.heardAt, this.sentAt);
  }

  isDoubtful(now: number): boolean {
    if (now < this.suspectUntil) return true;
    const quiet = this.quietMs(now);
    if (quiet > (this.streaming > 0 ? QUIET_STREAM_MS : QUIET_START_MS)) return true;
    return !this.isSpeaking && now - this.heardAt > QUIET_STREAM_MS;
  }

  /** Own evidence that others should hear of, once a while. */
  isNewDoubt(now: number): boolean {
    if (this.streaming === 0 || this.quietMs(now) <= QUIET_STREAM_MS || now - this.toldAt < SUSPECT_MS / 2) return false;
    this.toldAt = now;
    return true;
  }

  /** Another router's evidence counts unless this one hears the runner. */
  doubt(now: number): void {
    if (now - this.heardAt > QUIET_STREAM_MS) this.suspectUntil = Math.max(this.suspectUntil, now + SUSPECT_MS);
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
  private byService = new Map<string, Runner[]>();
  readonly summaries = new summaries.Summaries();
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
    }
    if (instance.coldMs > 0) runner.coldUntil = Math.max(runner.coldUntil, now + instance.coldMs);
    if (instance.leavesMs >= 0) runner.leavesAt = Math.min(runner.leavesAt, now + instance.leavesMs);
    if (instance.isDraining) runner.move("draining");
  }

  takeReport(report: schema.CellReport): void {
    for (const item of report.reports) this.runners.get(item.id)?.takeReport(item);
  }

  regionFor(id: types.RunnerId): string {
    return this.runners.get(id)?.region ?? "";
  }

  takeDoubt(ids: readonly string[]): void {
    for (const id of ids) this.runners.get(id)?.doubt(this.world.now());
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
