/**
 * The parts of a router, made and connected (design 7). What the router does with them over time is in router-program.ts.
 */
import * as usageCounter from "../duties/usage-counter.js";
import * as dialer from "../feed/dialer.js";
import * as feedSubscriber from "../feed/feed-subscriber.js";
import * as sessionSelector from "../feed/session-selector.js";
import * as leasedLimits from "../limits/leased-limits.js";
import * as loadReader from "../load/load-reader.js";
import * as prefillTracker from "../runners/prefill-tracker.js";
import * as runnerFleet from "../runners/runner-fleet.js";
import * as zoneRotation from "../runners/zone-rotation.js";
import * as settings from "../settings/settings.js";
import * as calls from "../wire/calls.js";
import * as link from "../wire/link.js";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import * as routerServer from "./client/router-server.js";
import * as limitBorrower from "./limit-borrower.js";
import * as prefillSharing from "./prefill-sharing.js";
import * as routerBatches from "./router-batches.js";
import * as runnerPicker from "./runner-picker.js";
import * as serveGate from "./serve-gate.js";
import * as tenantGate from "./tenant-gate.js";

const MS_PER_S = 1000;

/** The router around its parts. */
export interface RouterHost {
  clock: types.Clock;
  /** Of this process. */
  incarnation: string;
  handlers: link.Handlers;
  /** The settings at the start. */
  startup: settings.Settings;
  /** Is told of each change of the feed. */
  listener: feedSubscriber.FeedListener;
  nodeInfo(): schema.NodeInfo;
  /** Topics of the feed that the router follows now. */
  topics(): string[];
  /** The router begins to serve. */
  onServing(): void;
  /** A control node sent a heartbeat. */
  onHeartbeat(): void;
  /** The reports of a region are complete for one period. */
  onRegionReports(region: string): void;
}

/** Made once for each router. */
export interface RouterParts {
  readonly dial: dialer.Dialer;
  readonly gate: serveGate.ServeGate;
  readonly follower: feedSubscriber.FeedSubscriber;
  readonly fleet: runnerFleet.RunnerFleet;
  readonly rotation: zoneRotation.ZoneRotation;
  readonly limits: leasedLimits.LeasedLimits;
  readonly borrower: limitBorrower.LimitBorrower;
  readonly prefills: prefillTracker.PrefillTracker;
  readonly load: loadReader.LoadReader;
  readonly prefillSharing: prefillSharing.PrefillSharing;
  readonly picker: runnerPicker.RunnerPicker;
  readonly server: routerServer.RouterServer;
  readonly batches: routerBatches.RouterBatches;
  readonly tenantGate: tenantGate.TenantGate;
}

/** What chooses runners. */
type RunnerParts = Pick<RouterParts, "fleet" | "rotation" | "limits" | "prefills" | "picker" | "load">;

/** Makes the parts in the order in which they depend on each other, and connects them. */
export function makeParts(host: RouterHost): RouterParts {
  const { clock, incarnation, handlers, startup } = host;
  const runners = makeRunnerParts(host);
  const dial = makeDialer(host);
  const gate = new serveGate.ServeGate(clock, dial.controls, startup.unconfirmed_serve_s * MS_PER_S, () => host.onServing());
  dial.on("heartbeat", () => host.onHeartbeat());
  const follower = new feedSubscriber.FeedSubscriber(clock, startup.region, dial, handlers, () => host.topics(), host.listener);
  const sharing = new prefillSharing.PrefillSharing(clock, runners.fleet, runners.prefills, runners.load, (hints) =>
    follower.primary?.link.send(calls.hints, hints),
  );
  sharing.hintExchange.register(handlers);
  const borrower = new limitBorrower.LimitBorrower(clock, incarnation, dial, runners.limits);
  const connected = { ...runners, dial, gate, follower, prefillSharing: sharing, borrower };
  return { ...connected, ...makeServerParts(host, connected) };
}

function makeRunnerParts(host: RouterHost): RunnerParts {
  const { clock, startup } = host;
  const { region, bounds, zones } = startup;
  const fleet = new runnerFleet.RunnerFleet(clock, new Map(Object.entries(zones)));
  const rotation = new zoneRotation.ZoneRotation(clock);
  const limits = new leasedLimits.LeasedLimits(clock, bounds);
  const prefills = new prefillTracker.PrefillTracker();
  const picker = new runnerPicker.RunnerPicker(clock, fleet, rotation, limits, region, prefills);
  picker.admission.isOn = startup.admission === "on";
  const load = new loadReader.LoadReader(clock, fleet, region, (reported) => host.onRegionReports(reported));
  return { fleet, rotation, limits, prefills, picker, load };
}

function makeDialer(host: RouterHost): dialer.Dialer {
  const { clock, handlers, startup } = host;
  const { region, node_name: name } = startup;
  const selector = new sessionSelector.SessionSelector(clock, { name, region });
  const dial = new dialer.Dialer(clock, "", handlers, () => host.nodeInfo(), link.LINK_TIMEOUT_MS, selector);
  dial.addAddresses(settings.innerSeeds(startup));
  dial.registerHandlers(handlers);
  return dial;
}

function makeServerParts(
  { clock, incarnation, handlers, startup }: RouterHost,
  made: Pick<RouterParts, "picker" | "prefills" | "prefillSharing" | "dial" | "gate">,
): Pick<RouterParts, "server" | "batches" | "tenantGate"> {
  const { picker, gate } = made;
  const batches = new routerBatches.RouterBatches(incarnation, made.prefills, picker.admission);
  batches.register(handlers);
  const usage = new usageCounter.UsageCounter(clock, incarnation);
  handlers.on(calls.usageCollect, (from, request) => usage.reply(request, from.latenessMs()));
  const tenants = new tenantGate.TenantGate(clock, startup.region, made.dial.controls, startup.bounds);
  const server = new routerServer.RouterServer({
    clock,
    picker,
    isReady: () => gate.allows(),
    recordSend: (request, runner) => made.prefillSharing.recordSend(request, runner),
    recordBegun: (tenant) => usage.record(tenant),
    machine: startup.limits,
    batches,
    tenantGate: tenants,
  });
  return { server, batches, tenantGate: tenants };
}
