// The router role put together: the only way to the runners, with no persistent state (design 7).
import * as crypto from "node:crypto";
import * as calls from "../wire/calls.js";
import * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as world from "../wire/world.js";
import * as log from "../startup/log.js";
import * as settings from "../startup/settings.js";
import * as check from "../config/check.js";
import * as routes from "../config/routes.js";
import * as directory from "../control/directory.js";
import * as dialers from "../feed/dialer.js";
import * as followers from "../feed/follower.js";
import * as registers from "../register/value.js";
import * as shares from "../shares/shares.js";
import * as supervisor from "../supervisor/tree.js";
import * as choosers from "./chooser.js";
import * as fleets from "./fleet.js";
import * as readiness from "./readiness.js";
import * as readings from "./readings.js";
import * as rotations from "./rotation.js";
import * as servers from "./server.js";
import type * as transactions from "./transaction.js";

const WATCH_MS = 100;
const CUT_MS = 750;
const TOLD_TOKENS = 1000;
const CHILL_MS = 2500;
const LAST_MS = 400;
const STEP_MS = 50;

export class RouterProgram implements followers.Taker {
  private readonly life = crypto.randomBytes(6).toString("hex");
  private readonly handlers = new link.Handlers();
  private readonly dial: dialers.Dialer;
  private readonly follower: followers.Follower;
  private readonly fleet: fleets.Fleet;
  private readonly rotation: rotations.Rotation;
  private readonly share: shares.Shares;
  private readonly known = new readings.Readings();
  private readonly chooser: choosers.Chooser;
  private readonly server: servers.RouterServer;
  private epoch = types.NO_EPOCH;
  readonly root: supervisor.Supervisor;

  constructor(private readonly clock: types.World, private startup: settings.Settings) {
    this.fleet = new fleets.Fleet(clock, new Map(Object.entries(startup.zones)));
    this.rotation = new rotations.Rotation(clock);
    this.share = new shares.Shares(clock, startup.bounds);
    this.chooser = new choosers.Chooser(clock, this.fleet, this.rotation, this.share, startup.region, this.known);
    this.server = new servers.RouterServer(clock, this.chooser, this.hasAll.bind(this), this.sending.bind(this), startup.limits);
    this.dial = new dialers.Dialer(clock, "", this.handlers, this.describe.bind(this), link.SILENT_MS);
    this.follower = new followers.Follower(clock, startup.region, this.dial, this.handlers, this);
    this.dial.know(settings.innerSeeds(startup));
    this.chooser.admission.isOn = startup.admission === "on";
    const { fleet, known } = this;
    this.handlers.on(calls.signs, function signs(_from, told) {
      fleet.takeDoubt(told.silent);
      if (told.reader !== "") known.note(told.reader, told.unread, told.keys, clock.now());
      return null;
    });
    this.root = new supervisor.Supervisor("router", clock, []);
    this.plan();
  }

  private hasAll(): boolean {
    return this.chooser.table !== null && this.fleet.hasList;
  }

  private isReady(): boolean {
    return this.hasAll() && !this.server.isLeaving;
  }

  private describe(): schema.NodeInfo {
    return {
      name: this.startup.node_name, role: "router", life: this.life, zone: this.startup.zone, region: this.startup.region,
      address: "", outside: this.startup.bind_addresses.frontend ?? "", disk: "", isCounted: this.startup.failure_counted,
      isReady: this.isReady(), epoch: this.epoch,
    };
  }

  private plan(): void {
    const { root, startup, server } = this;
    const { frontend, readiness: checked } = startup.bind_addresses;
    if (checked) root.add(readiness.readinessChild(checked, this.isReady.bind(this), this.status.bind(this)));
    if (frontend) root.add({ name: "frontend", start: server.listen.bind(server, frontend), stop: server.close.bind(server) });
    root.add(root.turns("beats", link.BEAT_MS, this.beat.bind(this)));
    root.add(root.turns("watch", WATCH_MS, this.watch.bind(this)));
  }

  private beat(): void {
    this.dial.tellAll({ isReady: this.isReady(), epoch: this.epoch, isSettled: true, index: 0, members: 1 });
  }

  private watch(): void {
    this.chooser.admission.turn(WATCH_MS);
    this.dial.turn();
    this.follower.elect();
    const dealer = this.follower.main;
    if (dealer?.beat && this.clock.now() - dealer.beatAt < link.BEAT_MS * 3) this.share.deal(dealer.beat.index, dealer.beat.members);
    this.server.watch();
    const silent = this.fleet.newDoubts();
    if (silent.length > 0) this.follower.main?.link.tell(calls.signs, { isRelayed: false, silent, reader: "", unread: 0, keys: [] });
    this.cutRegions();
  }

  /** What is read where is told to the other routers when it is news to them. */
  private sending(request: transactions.Request, runner: types.RunnerId): number {
    if (request.parts.length === 0) return 0;
    const unread = Math.round(this.known.unread(runner, request.parts, request.keys));
    const isNews = unread >= TOLD_TOKENS;
    this.known.note(runner, unread, request.keys, this.clock.now());
    if (isNews) this.follower.main?.link.tell(calls.signs, { isRelayed: false, silent: [], reader: runner, unread, keys: request.keys });
    return unread;
  }

  /** A region whose control nodes all fell silent is cut off from here, and its runners with it. */
  private cutRegions(): void {
    const heard = new Map<string, number>();
    for (const control of this.dial.controls.values()) {
      const { region } = control.node;
      heard.set(region, Math.min(heard.get(region) ?? Infinity, control.link.silentMs()));
    }
    for (const [region, silentMs] of heard) if (silentMs > CUT_MS) this.fleet.doubtRegion(region);
  }

  takeRegister(value: schema.Value): void {
    const wasReady = this.isReady();
    const config = registers.unpack(value.config) as check.Configuration | null;
    const isFirst = this.epoch < 0;
    this.epoch = value.epoch;
    if (config) {
      this.chooser.table = new routes.RouteTable(config);
      this.server.limit(config.limits);
    }
    for (const zone of this.rotation.take(value.evacuations, isFirst)) this.fleet.chill(zone, CHILL_MS);
    log.state(`config: epoch ${value.epoch}, revision ${value.revision} in force`);
    this.beat();
    this.turnedReady(wasReady);
  }

  takeList(instances: schema.Instance[]): void {
    const wasReady = this.isReady();
    this.fleet.takeList(instances);
    const standing = new Set<string>(instances.map(idOf));
    this.known.forgetAllBut(standing);
    this.chooser.admission.forgetAllBut(standing);
    if (this.turnedReady(wasReady)) this.beat();
  }

  private turnedReady(wasReady: boolean): boolean {
    if (wasReady || !this.isReady()) return false;
    this.server.takePending();
    return true;
  }

  takeReport(report: schema.CellReport): void {
    this.fleet.takeReport(report);
    this.chooser.admission.takeReport(report);
  }

  /** Settings read again: seeds and bounds take effect; addresses of its own do not. */
  resettle(startup: settings.Settings): void {
    this.startup = startup;
    this.dial.know(settings.innerSeeds(startup));
    this.share.resettle(startup.bounds);
    this.chooser.admission.isOn = startup.admission === "on";
    log.state("settings: read again");
  }

  private status(): unknown {
    const runners: unknown[] = [];
    for (const runner of this.fleet.all()) {
      runners.push({ id: runner.id, service: runner.instance.service, zone: runner.instance.zone, status: runner.status, inflight: runner.inflight, usage: runner.usage() });
    }
    return {
      node: this.describe(), following: this.follower.main?.node.name ?? null, routers: this.share.routers,
      sharesValid: this.share.isValid(), admission: this.chooser.admission.status(), runners, counters: Object.fromEntries(log.counted()),
    };
  }

  /** Out of the directory first; then what is at work is finished within grace_s (design 7.11). */
  async stop(): Promise<void> {
    const startedAt = this.clock.now();
    const until = startedAt + this.startup.bounds.grace_s * 1000 - LAST_MS;
    this.server.isLeaving = true;
    this.beat();
    const leave = Math.min(directory.LEAVE_MS + link.BEAT_MS, until - startedAt);
    await world.sleep(this.clock, leave);
    this.server.close();
    while (this.server.activeCount > 0 && this.clock.now() < until) await world.sleep(this.clock, STEP_MS);
    await this.root.stop();
    this.dial.end();
    this.fleet.closeIdle();
  }
}

function idOf(instance: schema.Instance): string {
  return instance.id;
}
