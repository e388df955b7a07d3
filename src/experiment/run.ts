/**
 * One run: the nodes come up, settle, are measured over a window of changes, and may lose a control node
 * (design/experiment 2, 3). It is bounded by time and ends what it started.
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as client from "../cli/client.js";
import * as errors from "../runtime/errors.js";
import type * as vitals from "../runtime/vitals.js";
import type * as counts from "../wire/counts.js";
import * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";
import * as changes from "./changes.js";
import * as measuringClock from "./measuring-clock.js";
import * as hosts from "./hosts.js";
import * as layout from "./layout.js";
import * as losses from "./losses.js";
import * as experiment from "./options.js";
import type * as routers from "./routers.js";
import * as rows from "./rows.js";
import * as window from "./window.js";

const POLL_INTERVAL_MS = 50;
const SETTLE_TIMEOUT_MS = 40_000;
const MOVE_TIMEOUT_MS = 10_000;
const QUIET_MS = 1500;
const RETURN_MS = 2500;

interface ControlStatus {
  isSettled: boolean;
  vitals: vitals.Vitals;
  links: Record<string, counts.LinkCount>;
  counters: Record<string, number>;
}

interface RouterHost {
  host: hosts.Host;
  count: number;
}

/** One run of an experiment: starts nodes, measures, stops them. */
export class Run {
  private readonly layout: layout.Layout;
  private readonly changes: changes.Changes;
  private readonly routerHosts: RouterHost[] = [];
  private readonly controls: hosts.ControlHost[] = [];
  private readonly outcome: rows.Outcome = { nodes: [], links: [], changes: [], losses: [] };
  private readonly point: rows.Point;

  constructor(
    private readonly clock: types.Clock,
    private readonly launcher: hosts.Launcher,
    private readonly options: experiment.Options,
    private readonly folder: string,
    private readonly progress: (step: string) => void,
    sweep: string,
  ) {
    this.layout = new layout.Layout(options, layout.netOf(process.pid), folder);
    this.changes = new changes.Changes(clock, options, this.layout);
    this.point = rows.pointOf(sweep, options);
  }

  /** Plays the run; rejects where a step does not happen in its time. */
  async play(): Promise<rows.Outcome> {
    try {
      this.progress("starting");
      await this.startAll();
      this.progress("settling");
      await this.settle();
      this.progress("measuring");
      await this.measure();
      if (this.options.loseControl && this.controls.length > 1) {
        for (const manner of ["frozen", "killed"] as const) {
          this.progress(`a control node is ${manner}`);
          await this.lose(manner);
        }
      }
      return this.outcome;
    } finally {
      await this.launcher.end();
    }
  }

  private async startAll(): Promise<void> {
    const { options, layout, launcher } = this;
    const runners = await launcher.host("runners");
    await runners.request({
      kind: "runners",
      platform: layout.platformAddress(),
      instances: layout.instances(),
      listChangesPerS: options.listChangesPerS,
    });
    for (let index = 0; index < options.controls; index += 1) this.controls.push(await this.startControl(index, true));
    await this.waitUntil("the control nodes reach a majority", SETTLE_TIMEOUT_MS, () => this.isSettled());
    const workers = experiment.workersOf(options);
    for (let worker = 0; worker < workers; worker += 1) {
      const routers: routers.HollowRouterOptions[] = [];
      for (let index = worker; index < options.routers; index += workers)
        routers.push({ settings: layout.routerSettings(index), regions: layout.usedRegions(index) });
      const host = await launcher.host(`routers-${1 + worker}`);
      await host.request({ kind: "routers", routers });
      this.routerHosts.push({ host, count: routers.length });
    }
  }

  private startControl(index: number, isFirst: boolean): Promise<hosts.ControlHost> {
    const name = this.layout.controlName(index);
    const file = path.join(this.folder, `${name}.conf`);
    fs.writeFileSync(file, this.layout.controlSettings(index, isFirst));
    return this.launcher.control(name, file);
  }

  private async settle(): Promise<void> {
    const failure = await this.changes.first();
    if (failure) throw failure;
    await this.waitUntil("the first configuration is in force at all routers", SETTLE_TIMEOUT_MS, () => this.isInForce());
    await timers.sleep(this.clock, QUIET_MS);
  }

  private async waitUntil(what: string, withinMs: number, isSo: () => Promise<boolean>): Promise<void> {
    const startedMs = this.clock.now();
    while (!(await isSo())) {
      if (this.clock.now() - startedMs > withinMs) {
        throw new errors.TimeoutError(
          `not so within ${withinMs / 1000} s: ${what}`,
          "give fewer nodes or wait until the machine is less busy",
        );
      }
      await timers.sleep(this.clock, POLL_INTERVAL_MS);
    }
  }

  private async statusOf(index: number): Promise<ControlStatus | null> {
    const outcome = await client.send(this.clock, [this.layout.controls()[index]], { method: "GET", path: "/-/status" });
    return outcome.isOk ? (outcome.value.json as ControlStatus) : null;
  }

  private async isSettled(): Promise<boolean> {
    const all = await Promise.all(this.controls.map((control, index) => this.statusAt(control, index)));
    return all.every(isSettledStatus);
  }

  private statusAt(_control: hosts.ControlHost, index: number): Promise<ControlStatus | null> {
    return this.statusOf(index);
  }

  private async census(): Promise<{ leastRevision: number; following: Map<string, number> }> {
    const following = new Map<string, number>();
    let leastRevision = Infinity;
    for (const { host } of this.routerHosts) {
      const census = (await host.request({ kind: "census" })) as routers.Census;
      leastRevision = Math.min(leastRevision, census.leastRevision);
      for (const [name, count] of census.following) following.set(name, (following.get(name) ?? 0) + count);
    }
    return { leastRevision, following };
  }

  private async isInForce(): Promise<boolean> {
    return (await this.census()).leastRevision >= this.changes.newest;
  }

  private async routerReports(): Promise<routers.RouterGroupReport[]> {
    const reports: routers.RouterGroupReport[] = [];
    for (const { host } of this.routerHosts) reports.push((await host.request({ kind: "report" })) as routers.RouterGroupReport);
    return reports;
  }

  private async readControls(): Promise<window.Reading[]> {
    const readings: window.Reading[] = [];
    for (const index of this.controls.keys()) {
      const status = await this.statusOf(index);
      if (!status) throw new errors.TimeoutError(`${this.layout.controlName(index)} tells no status`, `read its log in ${this.folder}`);
      readings.push({
        atMs: measuringClock.machineMs(),
        vitals: status.vitals,
        links: new Map(Object.entries(status.links)),
        reports: status.counters["runner.report"] ?? 0,
      });
    }
    return readings;
  }

  private async readRouters(): Promise<{ readings: window.Reading[]; reports: routers.RouterGroupReport[] }> {
    const accounts = await this.routerReports();
    const readings: window.Reading[] = [];
    for (const report of accounts) readings.push({ atMs: report.atMs, vitals: report.vitals, links: new Map(report.links), reports: 0 });
    return { readings, reports: accounts };
  }

  private async measure(): Promise<void> {
    const controlsBefore = await this.readControls();
    const before = await this.readRouters();
    await this.changes.play(this.options.seconds);
    const controlsAfter = await this.readControls();
    const after = await this.readRouters();
    await this.waitUntil("the last change is in force at all routers", SETTLE_TIMEOUT_MS, () => this.isInForce());
    const rest = await this.routerReports();
    for (const [index, control] of this.controls.entries())
      this.add({ role: "control", node: control.name, sharedBy: 1 }, controlsBefore[index], controlsAfter[index]);
    for (const [index, { host, count }] of this.routerHosts.entries())
      this.add({ role: "router", node: host.name, sharedBy: count }, before.readings[index], after.readings[index]);
    const revisions: routers.RevisionInForce[][] = [];
    for (const [index, report] of after.reports.entries()) revisions.push([...report.revisions, ...rest[index].revisions]);
    this.outcome.changes.push(this.changes.row(this.point, revisions, this.options.routers));
  }

  private add(identity: window.NodeIdentity, before: window.Reading, after: window.Reading): void {
    const links = window.linkRows(this.point, identity, before, after);
    this.outcome.links.push(...links);
    this.outcome.nodes.push(window.nodeRow(this.point, identity, before, after, links));
  }

  /** The node that most routers follow is lost, and started again when none follows it any more. */
  private async lose(manner: "killed" | "frozen"): Promise<void> {
    const { following } = await this.census();
    const index = mostFollowed(this.controls, following);
    const lost = this.controls[index];
    const followers = following.get(lost.name) ?? 0;
    await this.routerReports();
    const atMs = measuringClock.machineMs();
    if (manner === "frozen") lost.freeze();
    else await lost.kill();
    const census = this.census.bind(this);
    await this.waitUntil(`no router follows ${lost.name}`, MOVE_TIMEOUT_MS, async function hasMoved() {
      const now = (await census()).following;
      return (now.get(lost.name) ?? 0) === 0 && (now.get("") ?? 0) === 0;
    });
    if (manner === "frozen") await lost.kill();
    this.controls[index] = await this.startControl(index, false);
    await timers.sleep(this.clock, RETURN_MS);
    const accounts = await this.routerReports();
    this.outcome.losses.push(losses.lossRow(this.point, manner, lost.name, atMs, followers, accounts));
    await this.waitUntil("the control nodes reach a majority again", SETTLE_TIMEOUT_MS, () => this.isSettled());
  }
}

function isSettledStatus(status: ControlStatus | null): boolean {
  return status?.isSettled === true;
}

function mostFollowed(controls: readonly hosts.ControlHost[], following: ReadonlyMap<string, number>): number {
  let most = 0;
  for (const [index, control] of controls.entries()) {
    if ((following.get(control.name) ?? 0) > (following.get(controls[most].name) ?? 0)) most = index;
  }
  return most;
}
