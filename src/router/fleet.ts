// The runners as this router sees them: the pushed list and reports, and its own signs (design 7.4).
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as shares from "../shares/shares.js";
import * as log from "../startup/log.js";
import * as reports from "../usage/reported.js";
import * as summaries from "../usage/summary.js";
import * as connections from "./connections.js";
import * as departures from "./gone.js";
import * as idle from "./idle.js";

export type Status = "ready" | "draining" | "gone";

const SUSPECT_MS = 700;
const MOST_SUSPECT_MS = 4000;
const FULL_MS = 150;
const QUIET_STREAM_MS = 400;
const QUIET_START_MS = 1500;

export class Runner extends reports.Reported {
  status: Status = "ready";
  coldUntil = 0;
  leavesAt = Infinity;
  streaming = 0;
  heardAt = 0;
  sentAt = 0;
  fullUntil = 0;
  private toldAt = 0;
  private suspectUntil = 0;
  private suspicions = 0;
  readonly connections: connections.Connections;
  /** A fixed place in the order of runners, the same at every router. */
  readonly mark: number;

  constructor(readonly instance: schema.Instance, readonly region: string, limit: idle.IdleLimit) {
    super();
    this.connections = new connections.Connections(instance.address, opened, limit);
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
  private readonly gone = new departures.GoneRunners();
  private readonly byService = new Map<string, Runner[]>();
  readonly summaries = new summaries.Summaries();
  /** Grows with each runner that comes or goes. */
  listing = 0;
  private readonly limits: idle.IdleLimits;

  constructor(private readonly world: types.World, private readonly regionOf: ReadonlyMap<string, string>) {
    this.limits = new idle.IdleLimits(world, connections.IDLE_MS);
  }

  of(service: string): readonly Runner[] {
    return this.byService.get(service) ?? [];
  }

  all(): Iterable<Runner> {
    return this.runners.values();
  }

  has(id: string): boolean {
    return this.runners.has(types.small(id));
  }

  /** The whole list. */
  takeList(list: readonly schema.Instance[]): void {
    this.sweep();
    const listed = new Set<string>();
    for (const instance of list) listed.add(instance.id);
    const gone: string[] = [];
    for (const id of this.runners.keys()) if (!listed.has(id)) gone.push(id);
    this.takeChanges(list, gone);
  }

  /** What changed of the list: each is acted on at once, and costs no more than itself and its service's runners. */
  takeChanges(changed: Iterable<schema.Instance>, gone: Iterable<string>): void {
    const now = this.world.now();
    const services = new Set<string>();
    for (const instance of changed) if (this.takeInstance(instance, now)) services.add(instance.service);
    for (const id of gone) {
      const runner = this.remove(id, services);
      if (runner) this.gone.add(id, now);
      else this.gone.unlist(id);
      runner?.move("gone");
    }
    this.arrange(services);
  }

  /** Of a region that is followed no longer; its runners are not gone. */
  forget(ids: Iterable<string>): void {
    const services = new Set<string>();
    for (const id of ids) this.remove(id, services)?.connections.closeIdle();
    this.arrange(services);
  }

  /** Of runners that were gone: listed still after a while, they are taken again. */
  sweep(): void {
    const back = this.gone.sweep(this.world.now());
    if (back.length > 0) this.takeChanges(back, []);
  }

  private remove(id: string, services: Set<string>): Runner | null {
    const runner = this.runners.get(id);
    if (!runner) return null;
    this.runners.delete(id);
    services.add(runner.instance.service);
    return runner;
  }

  private arrange(services: ReadonlySet<string>): void {
    if (services.size === 0) return;
    this.listing += 1;
    for (const service of services) this.byService.set(service, []);
    for (const runner of this.runners.values()) {
      if (services.has(runner.instance.service)) this.byService.get(runner.instance.service)!.push(runner);
    }
  }

  /** True when a runner was added. */
  private takeInstance(instance: schema.Instance, now: number): boolean {
    if (this.gone.holds(instance)) return false;
    let runner = this.runners.get(instance.id);
    const isNew = !runner;
    if (!runner) {
      runner = new Runner(instance, this.regionOf.get(instance.zone) ?? instance.zone, this.limits.of(instance.service));
      this.runners.set(instance.id, runner);
    }
    if (instance.coldMs > 0) runner.coldUntil = Math.max(runner.coldUntil, now + instance.coldMs);
    if (instance.leavesMs >= 0) runner.leavesAt = Math.min(runner.leavesAt, now + instance.leavesMs);
    if (instance.isDraining) runner.move("draining");
    return isNew;
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
