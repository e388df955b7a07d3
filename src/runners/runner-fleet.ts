// The runners as this router sees them: the pushed list and reports, and its own signs (design 7.4).
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as loadSummary from "../load/load-summary.js";
import * as peerGroup from "./peer-group.js";
import * as connectionPool from "./connection-pool.js";
import * as runnerTombstones from "./runner-tombstones.js";
import * as idleTimeout from "./idle-timeout.js";
import * as runnerEndpoint from "./runner-endpoint.js";

/** All runners that one router knows. */
export class RunnerFleet {
  private readonly runners = new Map<string, runnerEndpoint.RunnerEndpoint>();
  private readonly gone = new runnerTombstones.RunnerTombstones();
  private readonly byService = new Map<string, runnerEndpoint.RunnerEndpoint[]>();
  private readonly byRegion = new Map<string, Set<runnerEndpoint.RunnerEndpoint>>();
  readonly summaries = new loadSummary.LoadSummaries();
  /** Grows with each runner that comes or goes. */
  listing = 0;
  private readonly idleTimeouts: idleTimeout.IdleTimeouts;
  readonly cohorts = new peerGroup.PeerGroups();

  constructor(
    private readonly world: types.Clock,
    private readonly regionOf: ReadonlyMap<string, string>,
  ) {
    this.idleTimeouts = new idleTimeout.IdleTimeouts(world, connectionPool.IDLE_MS);
  }

  of(service: string): readonly runnerEndpoint.RunnerEndpoint[] {
    return this.byService.get(service) ?? [];
  }

  all(): Iterable<runnerEndpoint.RunnerEndpoint> {
    return this.runners.values();
  }

  in(region: string): Iterable<runnerEndpoint.RunnerEndpoint> {
    return this.byRegion.get(region) ?? [];
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
    for (const instance of changed) if (this.applyInstance(instance, now)) services.add(instance.service);
    for (const id of gone) {
      const runner = this.remove(id, services);
      if (runner) this.gone.add(id, now);
      else this.gone.unlist(id);
      runner?.move("gone");
    }
    this.reindex(services);
  }

  /** Of a region that is followed no longer; its runners are not gone. */
  forget(ids: Iterable<string>): void {
    const services = new Set<string>();
    for (const id of ids) this.remove(id, services)?.connections.closeIdle();
    this.reindex(services);
  }

  /** Of runners that were gone: listed still after a while, they are taken again. */
  sweep(): void {
    const back = this.gone.sweep(this.world.now());
    if (back.length > 0) this.takeChanges(back, []);
  }

  private remove(id: string, services: Set<string>): runnerEndpoint.RunnerEndpoint | null {
    const runner = this.runners.get(id);
    if (!runner) return null;
    this.runners.delete(id);
    this.byRegion.get(runner.region)?.delete(runner);
    services.add(runner.instance.service);
    return runner;
  }

  private reindex(services: ReadonlySet<string>): void {
    if (services.size === 0) return;
    this.listing += 1;
    for (const service of services) this.byService.set(service, []);
    for (const runner of this.runners.values()) {
      if (services.has(runner.instance.service)) this.byService.get(runner.instance.service)!.push(runner);
    }
  }

  /** True when a runner was added. */
  private applyInstance(instance: schema.Instance, now: number): boolean {
    if (this.gone.holds(instance)) return false;
    let runner = this.runners.get(instance.id);
    const isNew = !runner;
    if (!runner) {
      runner = new runnerEndpoint.RunnerEndpoint(
        instance,
        this.regionOf.get(instance.zone) ?? instance.zone,
        this.idleTimeouts.of(instance.service),
      );
      this.runners.set(instance.id, runner);
      const cell = this.byRegion.get(runner.region) ?? new Set();
      this.byRegion.set(runner.region, cell.add(runner));
      runner.outcomes.joinCohort(this.cohorts.of(instance.service, runner.region));
    }
    if (instance.coldMs > 0) runner.coldUntil = Math.max(runner.coldUntil, now + instance.coldMs);
    if (instance.leavesMs >= 0) runner.leavesAt = Math.min(runner.leavesAt, now + instance.leavesMs);
    if (instance.isDraining) runner.move("draining");
    return isNew;
  }

  applyReport(report: schema.CellReport): void {
    for (const item of report.reports) this.runners.get(item.id)?.reported(item, this.world.now());
  }

  /** What was told last of each runner of a region that reports and speaks. */
  reportsOf(region: string): schema.Report[] {
    const reports: schema.Report[] = [];
    for (const runner of this.in(region)) {
      const { id, isReporting: isSpeaking, waiting, active, kvUsed, kvCapacity } = runner;
      if (isSpeaking && kvCapacity > 0) reports.push({ id, isSpeaking, waiting, active, kvUsed, kvCapacity });
    }
    return reports;
  }

  regionFor(id: types.RunnerId): string {
    return this.runners.get(id)?.region ?? "";
  }

  /** A long reading was sent to a runner; milliseconds. */
  reads(id: types.RunnerId, ms: number): void {
    this.runners.get(id)?.reads(ms, this.world.now());
  }

  takeSuspects(ids: readonly string[]): void {
    for (const id of ids) this.runners.get(id)?.outcomes.reportedByOther(this.world.now());
  }

  suspectRegion(region: string): void {
    const now = this.world.now();
    for (const runner of this.in(region)) runner.outOfReach(now);
  }

  newSuspects(): types.RunnerId[] {
    const now = this.world.now();
    const ids: types.RunnerId[] = [];
    for (const runner of this.runners.values()) if (runner.isNewSuspect(now)) ids.push(runner.id);
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
