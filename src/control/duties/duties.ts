/** The duties at the platform at one control node (design/duties 1): register, lease, usage and calls, connected. */
import type * as configurationCheck from "../../config/configuration-check.js";
import * as dutyOwner from "../../duties/duty-owner.js";
import * as dutyTable from "../../duties/duty-table.js";
import * as platformDuties from "../../duties/platform-duties.js";
import * as runnerDemand from "../../duties/runner-demand.js";
import * as timeOfDay from "../../duties/time-of-day.js";
import * as usageCollector from "../../duties/usage-collector.js";
import * as usageLedger from "../../duties/usage-ledger.js";
import * as usageReporter from "../../duties/usage-reporter.js";
import type * as controlNode from "../../feed/control-node.js";
import * as loadSummary from "../../load/load-summary.js";
import type * as settings from "../../settings/settings.js";
import type * as tree from "../../supervisor/tree.js";
import * as calls from "../../wire/calls.js";
import type * as dutySchema from "../../wire/duty-schema.js";
import * as features from "../../wire/features.js";
import type * as types from "../../wire/types.js";
import * as registerValue from "../../register/register-value.js";
import * as rolloutCalls from "../operator/rollout-calls.js";
import * as rollout from "../../rollout/rollout.js";
import type * as sidePartHost from "../side-part-host.js";
import * as sideRegister from "../side-register.js";
import * as zoneLoads from "./zone-loads.js";

/** Names of duties in the settings. */
const USAGE_REPORT = "usage_report";
const AUTOSCALE = "autoscale";
/** Named among the guarantees where operators roll new versions out. */
const ROLLOUT = "rollout";
const MS_PER_S = 1000;

/** The control node around them. */
export interface DutiesHost extends sidePartHost.SidePartHost {
  /** This node's rank among those that may hold the lease, 0 is the first; null: it may not. */
  rank(): number | null;
  /** This machine's time of day, in milliseconds since the start of 1970. */
  wallClock(): number;
}

/** Null where the settings name no duties and no roll-outs, or there is no disk or no platform. */
export function makeDuties(clock: types.Clock, host: DutiesHost): Duties | null {
  const { cloud_api: platform, data_dir: dataDir, guarantees } = host.startup;
  const isNamed = platform.duties.length > 0 || guarantees.includes(ROLLOUT);
  return isNamed && platform.address && dataDir ? new Duties(clock, host, dataDir) : null;
}

/** Made only where the settings name duties or roll-outs. */
export class Duties {
  private readonly register: sideRegister.SideRegister;
  private readonly time: timeOfDay.TimeOfDay;
  private readonly ledger = new usageLedger.UsageLedger();
  private readonly reporter: usageReporter.UsageReporter;
  private readonly collector: usageCollector.UsageCollector;
  private readonly demand: runnerDemand.RunnerDemand;
  private readonly platform: platformDuties.PlatformDuties;
  private readonly owner: dutyOwner.DutyOwner;

  constructor(
    clock: types.Clock,
    private readonly host: DutiesHost,
    dataDir: string,
  ) {
    const { incarnation, startup } = host;
    const isBootstrap = startup.duties_bootstrap ?? startup.bootstrap;
    this.register = new sideRegister.SideRegister(clock, sideRegister.DUTIES, host, { dataDir, isBootstrap });
    this.time = new timeOfDay.TimeOfDay(clock, () => host.wallClock());
    const terms = usageTerms(startup.bounds);
    this.reporter = new usageReporter.UsageReporter(this.ledger, this.time, terms, () => this.otherVoters());
    this.demand = new runnerDemand.RunnerDemand(clock);
    this.platform = new platformDuties.PlatformDuties(clock, startup.cloud_api.address ?? "");
    this.owner = new dutyOwner.DutyOwner({
      clock,
      register: this.register.replica,
      platform: this.platform,
      self: { name: startup.node_name, life: incarnation },
      leaseMs: startup.bounds.lease_ms,
      rank: () => host.rank(),
      dueReports: (table) => (this.has(USAGE_REPORT) ? this.reporter.dueReports(table) : []),
      isNeeded: (table) => startup.cloud_api.duties.length > 0 || servingRollouts(table).size > 0,
      dueReverts: servingRollouts,
      newOrders: (table) => (this.has(AUTOSCALE) && startup.autoscale === "on" ? this.newOrders(table) : []),
    });
    this.collector = this.makeCollector(clock, terms.windowMs);
    this.register.registerHandlers(host.handlers);
    host.handlers.on(calls.usageRelay, (from, relay) => this.receiveRelay(relay, from.latenessMs()));
  }

  private has(duty: string): boolean {
    return this.host.startup.cloud_api.duties.includes(duty);
  }

  private makeCollector(clock: types.Clock, windowMs: number): usageCollector.UsageCollector {
    const { time, ledger, host } = this;
    return new usageCollector.UsageCollector({
      clock,
      name: host.startup.node_name,
      windowMs,
      time,
      ledger,
      routers: () => this.followingRouters(),
      holder: () => this.owner.table?.life ?? "",
      peer: (incarnation) => this.controlWith(incarnation),
      decidedThrough: () => this.owner.table?.decidedThrough ?? dutyTable.NO_WINDOW,
    });
  }

  private configurationNow(): configurationCheck.Configuration | null {
    const value = this.host.configuration();
    return value && (registerValue.unpack(value.config) as configurationCheck.Configuration | null);
  }

  /** The operators' calls on roll-outs; null where there are none. */
  rolloutCalls(): rolloutCalls.RolloutCalls | null {
    if (!this.host.startup.guarantees.includes(ROLLOUT)) return null;
    return new rolloutCalls.RolloutCalls({
      register: this.register.replica,
      configuration: () => this.configurationNow(),
      timeOfDayMs: () => this.time.now(),
    });
  }

  /** Versions by service that get no requests; null while this process does not know. */
  withheldVersions(): ReadonlyMap<string, string> | null {
    const { chosen } = this.register.replica;
    return chosen && rollout.withheldVersions(dutyTable.tableOf(chosen).rollouts, this.time.now());
  }

  private newOrders(table: dutySchema.DutyTable): dutySchema.RunnerOrder[] {
    const { fleetObserver } = this.host;
    const loads = zoneLoads.zoneLoads(fleetObserver.instances(), fleetObserver.reports());
    const config = this.configurationNow();
    return this.demand.newOrders(loads, (service) => zoneLoads.scalingBounds(config, service), table.orders);
  }

  /** The routers that follow this node and count usage. */
  private *followingRouters(): Generator<usageCollector.FollowingRouter> {
    const followers = new Set(this.host.feed.subscribersOf(loadSummary.SUMMARY_TOPIC));
    for (const { node, link, features: named } of this.host.members.routerSessions()) {
      if (followers.has(link) && features.isNamed(named, features.DUTIES)) yield { name: node.name, link };
    }
  }

  private controlWith(incarnation: string): controlNode.ControlNode | null {
    for (const control of this.host.dial.controls.values()) if (control.node.life === incarnation) return control;
    return null;
  }

  /** Names of the other voters, in touch or not; one that was never in touch is named by its address. */
  private *otherVoters(): Generator<string> {
    for (const { node, address } of this.register.replica.chosen?.voters ?? []) {
      if (address !== this.host.address) yield node || (this.host.dial.controls.get(address)?.node.name ?? address);
    }
  }

  private receiveRelay(relay: dutySchema.UsageRelay, latenessMs: number): dutySchema.UsageRelayReply {
    this.ledger.join(relay.windows);
    this.reporter.recordRelay(relay.from, latenessMs);
    if (latenessMs === 0) this.recordTimeOfDay(relay);
    return { isHolder: this.owner.isHolder, timeOfDayMs: this.time.now() };
  }

  private recordTimeOfDay(relay: dutySchema.UsageRelay): void {
    for (const { node, roundTripMs } of this.host.dial.controls.values()) {
      if (node.name === relay.from) this.time.recordSample(relay.from, relay.timeOfDayMs + roundTripMs / 2);
    }
  }

  /** Run by the control node's timer. */
  runPeriodically(): void {
    this.register.runPeriodically();
    this.owner.runPeriodically();
    if (this.has(USAGE_REPORT)) this.collector.runPeriodically();
  }

  /** The settings were read again: the platform's address takes effect. */
  applySettings(startup: settings.Settings): void {
    this.platform.setAddress(startup.cloud_api.address ?? "");
  }

  /** For the supervisor. */
  child(): tree.Child {
    return { name: "duties", start: () => this.register.start(), stop: () => this.stop() };
  }

  status(): unknown {
    return { ...(this.owner.status() as object), register: this.register.status() };
  }

  /** Ends the call under way and hands the vote over, while links are still up. `timeoutMs`: for the vote. */
  async handOver(timeoutMs: number): Promise<void> {
    await this.owner.finishInFlight();
    await this.register.handOver(timeoutMs);
  }

  private async stop(): Promise<void> {
    this.platform.close();
    await this.register.stop();
  }
}

/** No version is tried yet: each roll-out is reverted as soon as the holder sees it (design/rollouts 7). */
function servingRollouts(table: dutySchema.DutyTable): ReadonlySet<string> {
  return new Set(table.rollouts.filter(({ state }) => state === "serving").map(({ service }) => service));
}

function usageTerms(bounds: settings.Settings["bounds"]): usageReporter.UsageTerms {
  const { report_window_s: windowS, usage_delay_s: dueS, merge_delay_ms: mergeMs } = bounds;
  return { windowMs: windowS * MS_PER_S, dueMs: dueS * MS_PER_S, mergeMs: mergeMs ?? null };
}
