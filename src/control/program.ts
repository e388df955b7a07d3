// The control role put together: register, sessions, feed, cells, directory, operator (design 4, 5, 6).
import * as crypto from "node:crypto";
import * as net from "node:net";
import * as calls from "../wire/calls.js";
import * as counts from "../wire/counts.js";
import * as link from "../wire/link.js";
import * as listening from "../wire/listen.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../startup/log.js";
import * as settings from "../startup/settings.js";
import * as parts from "../config/parts.js";
import * as vitals from "../startup/vitals.js";
import * as dialers from "../feed/dialer.js";
import * as feeds from "../feed/feed.js";
import * as registers from "../register/value.js";
import * as files from "../store/files.js";
import * as owner from "../store/owner.js";
import * as supervisor from "../supervisor/tree.js";
import * as arrangers from "./arranger.js";
import * as cells from "./cells.js";
import * as cores from "./core.js";
import * as disks from "./disk.js";
import * as directory from "./directory.js";
import * as leases from "./leases.js";
import * as operators from "./operator.js";
import * as serve from "./serve.js";
import * as sessions from "./sessions.js";

const TURN_MS = 100;

export class ControlProgram {
  private readonly life = crypto.randomBytes(6).toString("hex");
  private readonly address: string;
  private readonly handlers = new link.Handlers();
  private readonly dial: dialers.Dialer;
  private readonly members: sessions.Sessions;
  private readonly feed: feeds.Feed;
  private readonly core: cores.Core;
  private readonly cells: cells.Cells;
  private readonly leases: leases.Lessor;
  private readonly arranger: arrangers.Arranger;
  private disk: disks.VoterDisk | null = null;
  readonly root: supervisor.Supervisor;

  constructor(
    private readonly world: types.World,
    private startup: settings.Settings,
  ) {
    const port = startup.internal_port_range[0];
    this.address = `${startup.ip_address}:${port}`;
    this.dial = new dialers.Dialer(world, this.address, this.handlers, this.describe.bind(this), link.SILENT_MS);
    this.members = new sessions.Sessions(world, link.SILENT_MS, this.life);
    this.feed = new feeds.Feed(this.life);
    const seeds = settings.innerSeeds(startup);
    this.dial.know(seeds);
    const first = startup.bootstrap ? registers.firstValue(seeds) : registers.firstValue([]);
    this.core = new cores.Core(world, { life: this.life, address: this.address, first }, this.dial);
    this.cells = new cells.Cells(world, startup, this.dial, this.feed, this.core, this.members);
    this.leases = new leases.Lessor(world, this.life, startup.bounds, this.core, this.dial);
    this.arranger = new arrangers.Arranger(world, this.core, this.heldControls.bind(this));
    this.root = new supervisor.Supervisor("control", world, []);
    this.handle();
    this.plan(seeds);
  }

  private describe(): schema.NodeInfo {
    return {
      name: this.startup.node_name,
      role: "control",
      life: this.life,
      zone: this.startup.zone,
      region: this.startup.region,
      address: this.address,
      outside: this.startup.bind_addresses.control_plane ?? "",
      disk: this.core?.disk ?? "",
      isCounted: this.startup.failure_counted,
      isReady: true,
      epoch: this.core?.chosen?.epoch ?? types.NO_EPOCH,
    };
  }

  private handle(): void {
    const { handlers, members, dial, core } = this;
    const describe = this.describe.bind(this);
    const controls = this.controls.bind(this);
    const feed = this.feed;
    const splitter = new parts.Splitter();
    core.register(handlers);
    this.cells.register(handlers);
    this.leases.register(handlers);
    handlers.on(calls.hello, function hello(from, ask) {
      members.enter(ask.node, from);
      if (ask.node.role === "control") dial.know([ask.node.address]);
      return { node: describe(), controls: controls(), place: feed.place };
    });
    handlers.on(calls.beat, function beat(from, told) {
      members.beat(from, told);
      dial.heard(from, told);
      if (told.epoch > (core.chosen?.epoch ?? types.NO_EPOCH)) void core.catchUp(from, told.epoch);
      return null;
    });
    handlers.on(calls.sessions, function hear(from, told) {
      members.hear(from, told);
      dial.learn(told.controls);
      return null;
    });
    handlers.on(calls.whole, function whole(from) {
      members.forgetPlace(from);
      return null;
    });
    dial.on("up", function met() {
      members.tellControls(controls());
    });
    handlers.on(calls.follow, function follow(from, ask) {
      feed.follow(from, ask);
      return null;
    });
    core.on("chosen", function chosen(value) {
      feed.publish(feeds.REGISTER_TOPIC, splitter.split(value), types.small(value.epoch));
    });
  }

  private plan(seeds: string[]): void {
    const { root, startup } = this;
    const operator = new operators.Operator(this.core, new Set(Object.keys(startup.zones)), this.status.bind(this));
    const view = { routers: this.members.routers.bind(this.members), ttlMostS: startup.bounds.ttl_max_s };
    root.add(this.internal());
    root.add(serve.child("operator", startup.bind_addresses.control_plane, operator.reply.bind(operator)));
    root.add(serve.child("directory", startup.bind_addresses.directory, resolve));
    function resolve(asked: serve.Asked): serve.Told {
      if (asked.path === "/-/resolve") return directory.resolve(view, asked.query);
      return { status: 404, json: { message: `no call ${asked.path}; ask /-/resolve` } };
    }
    root.add(root.turns("beats", link.BEAT_MS, this.beat.bind(this)));
    root.add(root.turns("turn", TURN_MS, this.turn.bind(this)));
    root.add({ name: "disk", start: this.openDisk.bind(this, seeds), stop: this.stopDisk.bind(this) });
  }

  private internal(): supervisor.Child {
    const { world, handlers, address } = this;
    const server = net.createServer(accepted);
    function accepted(socket: net.Socket): void {
      new link.Link(world, socket, handlers);
    }
    return {
      name: "internal",
      start(): Promise<void> {
        return listening.listen(server, address);
      },
      stop(): void {
        server.close();
      },
    };
  }

  /** The loop never waits on the disk: until it is read, this node runs without a vote. */
  private openDisk(seeds: string[]): void {
    const { data_dir: name, bootstrap: isBootstrap } = this.startup;
    if (!name) return;
    const machine = { world: this.world, folder: new files.RealFolder(name), processes: owner.realProcesses };
    this.disk = new disks.VoterDisk(machine, { address: this.address, seeds, isBootstrap }, this.core.enter.bind(this.core));
    this.disk.start();
  }

  private async stopDisk(): Promise<void> {
    this.core.leave();
    await this.disk?.stop();
  }

  private beat(): void {
    const base = {
      isReady: true,
      epoch: this.core.chosen?.epoch ?? types.NO_EPOCH,
      isSettled: this.core.isSettled(),
      silentRegions: this.dial.silentRegions(),
    };
    this.members.tellBeats(base);
    this.leases.beat();
    this.dial.tellAll({ ...base, index: 0, members: 1 });
    this.members.tellSiblings(this.describe(), this.dial.links(), this.controls());
  }

  /** This control node and those it has links to. */
  private controls(): schema.ControlInfo[] {
    const { node_name: name, zone, region } = this.startup;
    return [{ address: this.address, name, zone, region }, ...this.dial.met()];
  }

  private turn(): void {
    this.dial.turn();
    this.members.sweep();
    this.core.turn();
    this.cells.turn();
    this.arranger.turn();
  }

  /** This node and the control nodes whose sessions it holds itself. */
  private heldControls(): schema.NodeInfo[] {
    const held: schema.NodeInfo[] = [this.describe()];
    for (const node of this.members.members("control")) {
      if (node.name !== this.startup.node_name && this.members.isHeld(node.name)) held.push(node);
    }
    return held;
  }

  /** Settings read again: seeds, bounds and the platform's address take effect; addresses of its own do not. */
  resettle(startup: settings.Settings): void {
    this.startup = startup;
    this.dial.know(settings.innerSeeds(startup));
    this.cells.resettle(startup);
    this.leases.resettle(startup.bounds);
    log.state("settings: read again");
  }

  status(): unknown {
    const value = this.core.chosen;
    return {
      node: this.describe(),
      isSettled: this.core.isSettled(),
      disk: this.disk?.status() ?? null,
      register: value && {
        epoch: value.epoch,
        revision: value.revision,
        evacuations: value.evacuations,
        voters: value.voters,
        former: value.former,
      },
      members: { control: this.members.members("control"), router: this.members.members("router") },
      cells: this.cells.status(),
      counters: Object.fromEntries(log.counted()),
      vitals: vitals.vitals(),
      links: Object.fromEntries(counts.linkCounts()),
    };
  }

  async stop(): Promise<void> {
    await this.root.stop();
    this.dial.end();
    this.members.end();
    this.cells.stop();
  }
}
