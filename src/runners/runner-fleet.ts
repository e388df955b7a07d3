/** The runners as this router sees them: membership and reports as control nodes publish them, and its own observations (design 7.4). */
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as loadSummary from "../load/load-summary.js";
import * as peerGroup from "./peer-group.js";
import * as connectionPool from "./connection-pool.js";
import * as runnerTombstones from "./runner-tombstones.js";
import * as idleTimeout from "./idle-timeout.js";
import * as runnerEndpoint from "./runner-endpoint.js";

/** All runners that one router knows, by id, service and region. */
export class RunnerFleet {
  private readonly runners = new Map<string, runnerEndpoint.RunnerEndpoint>();
  private readonly tombstones = new runnerTombstones.RunnerTombstones();
  private readonly byService = new Map<string, runnerEndpoint.RunnerEndpoint[]>();
  private readonly byRegion = new Map<string, Set<runnerEndpoint.RunnerEndpoint>>();
  readonly summaries = new loadSummary.LoadSummaries();
  /** Grows with each change of the membership. */
  membershipVersion = 0;
  private readonly idleTimeouts: idleTimeout.IdleTimeouts;
  readonly peerGroups = new peerGroup.PeerGroups();

  constructor(
    private readonly clock: types.Clock,
    private readonly regionOf: ReadonlyMap<string, string>,
  ) {
    this.idleTimeouts = new idleTimeout.IdleTimeouts(clock, connectionPool.IDLE_TIMEOUT_MS);
  }

  ofService(service: string): readonly runnerEndpoint.RunnerEndpoint[] {
    return this.byService.get(service) ?? [];
  }

  all(): Iterable<runnerEndpoint.RunnerEndpoint> {
    return this.runners.values();
  }

  inRegion(region: string): Iterable<runnerEndpoint.RunnerEndpoint> {
    return this.byRegion.get(region) ?? [];
  }

  has(id: string): boolean {
    return this.runners.has(types.small(id));
  }

  /** The complete membership. */
  applySnapshot(list: readonly schema.Instance[]): void {
    this.restoreExpired();
    const listed = new Set<string>();
    for (const instance of list) listed.add(instance.id);
    const gone: string[] = [];
    for (const id of this.runners.keys()) if (!listed.has(id)) gone.push(id);
    this.applyChanges(list, gone);
  }

  /** Runners that were added, changed or removed. The cost is that of the changes and of the runners of their services. */
  applyChanges(changed: Iterable<schema.Instance>, gone: Iterable<string>): void {
    const now = this.clock.now();
    const services = new Set<string>();
    for (const instance of changed) if (this.applyInstance(instance, now)) services.add(instance.service);
    for (const id of gone) {
      const runner = this.remove(id, services);
      if (runner) this.tombstones.add(id, now);
      else this.tombstones.markUnlisted(id);
      runner?.transition("gone");
    }
    this.reindex(services);
  }

  /** The runners of a region that is no longer followed; they may come back at any time, so no tombstones are left. */
  unfollow(ids: Iterable<string>): void {
    const services = new Set<string>();
    for (const id of ids) this.remove(id, services)?.connections.closeIdle();
    this.reindex(services);
  }

  /** Adds removed runners whose tombstone has expired and that are still listed. Called periodically. */
  restoreExpired(): void {
    const listed = this.tombstones.expire(this.clock.now());
    if (listed.length > 0) this.applyChanges(listed, []);
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
    this.membershipVersion += 1;
    for (const service of services) this.byService.set(service, []);
    for (const runner of this.runners.values()) {
      if (services.has(runner.instance.service)) this.byService.get(runner.instance.service)!.push(runner);
    }
  }

  /** Returns whether a runner was added. */
  private applyInstance(instance: schema.Instance, now: number): boolean {
    if (this.tombstones.suppresses(instance)) return false;
    let runner = this.runners.get(instance.id);
    const isNew = !runner;
    if (!runner) {
      runner = new runnerEndpoint.RunnerEndpoint(
        instance,
        this.regionOf.get(instance.zone) ?? instance.zone,
        this.idleTimeouts.ofService(instance.service),
      );
      this.runners.set(instance.id, runner);
      const cell = this.byRegion.get(runner.region) ?? new Set();
      this.byRegion.set(runner.region, cell.add(runner));
      runner.outliers.joinPeerGroup(this.peerGroups.groupOf(instance.service, runner.region));
    }
    if (instance.coldMs > 0) runner.warmUpUntil = Math.max(runner.warmUpUntil, now + instance.coldMs);
    if (instance.leavesMs >= 0) runner.shutdownAt = Math.min(runner.shutdownAt, now + instance.leavesMs);
    if (instance.isDraining) runner.transition("draining");
    return isNew;
  }

  applyReport(report: schema.CellReport): void {
    for (const item of report.reports) this.runners.get(item.id)?.receiveReport(item, this.clock.now());
  }

  /** The last report of each runner of a region that reports. */
  reportsOf(region: string): schema.Report[] {
    const reports: schema.Report[] = [];
    for (const runner of this.inRegion(region)) {
      const { id, isReporting, waiting, active, kvUsed, kvCapacity } = runner;
      if (isReporting && kvCapacity > 0) reports.push({ id, isSpeaking: isReporting, waiting, active, kvUsed, kvCapacity });
    }
    return reports;
  }

  regionFor(id: types.RunnerId): string {
    return this.runners.get(id)?.region ?? "";
  }

  /** A prompt was sent to a runner whose prefill takes `ms`. */
  recordPrefill(id: types.RunnerId, ms: number): void {
    this.runners.get(id)?.recordPrefill(ms, this.clock.now());
  }

  /** Another router reports these runners as silent or failing. */
  recordRemoteSuspects(ids: readonly string[]): void {
    for (const id of ids) this.runners.get(id)?.outliers.recordRemoteReport(this.clock.now());
  }

  /** No link to the region is up. */
  recordUnreachableRegion(region: string): void {
    const now = this.clock.now();
    for (const runner of this.inRegion(region)) runner.recordUnreachable(now);
  }

  /** Runners that other routers are to be notified of now. Called a few times a second. */
  takeNewSuspects(): types.RunnerId[] {
    const now = this.clock.now();
    const ids: types.RunnerId[] = [];
    for (const runner of this.runners.values()) if (runner.takeSuspicion(now)) ids.push(runner.id);
    return ids;
  }

  /** Closes the idle connections to all runners. */
  closeIdle(): void {
    for (const runner of this.runners.values()) runner.connections.closeIdle();
  }

  /** The zone is back in rotation after an evacuation: its runners start slowly for `ms`. */
  startWarmUp(zone: string, ms: number): void {
    const until = this.clock.now() + ms;
    for (const runner of this.runners.values()) {
      if (runner.instance.zone === zone) runner.warmUpUntil = Math.max(runner.warmUpUntil, until);
    }
  }
}
