// Control nodes and routers over simulated links: frames in memory, with delay, cuts and kills by the test.
import * as events from "node:events";
import type * as net from "node:net";
import * as membership from "../../src/control/members/membership.js";
import * as dialer from "../../src/feed/dialer.js";
import * as sessionSelector from "../../src/feed/session-selector.js";
import * as calls from "../../src/wire/calls.js";
import * as link from "../../src/wire/link.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as simulatedClock from "./simulated-clock.js";

const DELAY_MS = 5;

/** One end of a connection: what is written comes out of the other end a little later. */
class SimSocket extends events.EventEmitter {
  readonly writableLength = 0;
  other: SimSocket | null = null;
  isCut = false;
  constructor(private readonly clock: simulatedClock.SimulatedClock) {
    super();
  }
  setNoDelay(): void {}
  write(bytes: Buffer): void {
    const { other } = this;
    if (!this.isCut) this.clock.schedule(DELAY_MS, () => other?.emit("data", bytes));
  }
  destroy(): void {
    const { other } = this;
    this.other = null;
    if (other && !this.isCut) this.clock.schedule(DELAY_MS, () => other.emit("close"));
  }
}

class SimDialer extends dialer.Dialer {
  reach: (address: string) => Promise<link.Link | null> = () => Promise.resolve(null);
  protected override connect(address: string): Promise<link.Link | null> {
    return this.reach(address);
  }
}

export class SimControl {
  readonly handlers = new link.Handlers();
  readonly dial: SimDialer;
  readonly members: membership.Membership;
  isUp = true;
  isSettled = true;
  entries = 0;
  wholes = 0;
  constructor(
    fleet: SimFleet,
    readonly info: schema.ControlInfo,
  ) {
    this.members = new membership.Membership(fleet.clock, link.LINK_TIMEOUT_MS, `${info.name}/1`);
    this.dial = new SimDialer(fleet.clock, info.address, this.handlers, this.describe.bind(this), link.LINK_TIMEOUT_MS);
    this.dial.reach = (address) => fleet.connect(address, this.handlers);
    this.handlers.on(calls.hello, (from, ask) => {
      this.members.openSession(ask.node, from);
      if (ask.node.role === "control") this.dial.dialWithoutBackoff(ask.node.address);
      return { node: this.describe(), controls: [info, ...this.dial.connectedControls()], place: info.name, isConfirmed: this.isSettled };
    });
    this.handlers.on(calls.heartbeat, (from, told) => {
      this.members.receiveHeartbeat(from, told);
      this.dial.receiveHeartbeat(from, told);
      return null;
    });
    this.handlers.on(calls.rosterUpdate, (from, told) => {
      if (fleet.losesNews()) return null;
      if (told.isWhole) this.wholes += 1;
      else this.entries += told.nodes.length + told.gone.length;
      this.members.receivePeerMembership(from, told);
      this.dial.addControls(told.controls);
      return null;
    });
    this.handlers.on(calls.requestRoster, (from) => {
      this.members.forgetOffset(from);
      return null;
    });
    this.dial.on("up", () => this.members.publishControls([info, ...this.dial.connectedControls()]));
  }
  private describe(): schema.NodeInfo {
    return nodeOf(this.info.name, "control", this.info.region, this.info.address);
  }
  beat(): void {
    if (!this.isUp) return;
    const base = { isReady: true, epoch: types.FIRST_EPOCH, isSettled: this.isSettled, silentRegions: this.dial.silentRegions(), index: 0 };
    this.members.sendHeartbeats(base);
    this.dial.sendHeartbeats({ ...base, members: 1 });
    this.members.publishToPeers(this.describe(), this.dial.links(), [this.info, ...this.dial.connectedControls()]);
  }
  turn(): void {
    if (!this.isUp) return;
    this.dial.maintainLinks();
    this.members.expireSilent();
  }
  kill(): void {
    this.isUp = false;
    this.dial.close();
    this.members.closeSessions();
  }
}

export class SimRouter {
  readonly handlers = new link.Handlers();
  readonly dial: SimDialer;
  readonly dials: { address: string; at: number }[] = [];
  isUp = true;
  isReady = true;
  epoch = types.FIRST_EPOCH;
  constructor(
    fleet: SimFleet,
    readonly name: string,
    readonly region: string,
    seeds: string[],
  ) {
    const selector = new sessionSelector.SessionSelector(fleet.clock, { name, region });
    this.dial = new SimDialer(
      fleet.clock,
      "",
      this.handlers,
      () => ({ ...nodeOf(name, "router", region, ""), isReady: this.isReady }),
      link.LINK_TIMEOUT_MS,
      selector,
    );
    this.dial.reach = (address) => {
      this.dials.push({ address, at: fleet.clock.now() });
      return fleet.connect(address, this.handlers);
    };
    this.handlers.on(calls.heartbeat, (from, told) => {
      this.dial.receiveHeartbeat(from, told);
      return null;
    });
    this.handlers.on(calls.controls, (_from, told) => {
      this.dial.addControls(told.controls);
      return null;
    });
    this.dial.addAddresses(seeds);
  }
  beat(): void {
    if (this.isUp)
      this.dial.sendHeartbeats({ isReady: this.isReady, epoch: this.epoch, isSettled: true, index: 0, members: 1, silentRegions: [] });
  }
  kill(): void {
    this.isUp = false;
    this.dial.close();
  }
  held(): string[] {
    return [...this.dial.controls.keys()].sort();
  }
}

export class SimFleet {
  readonly controls = new Map<string, SimControl>();
  readonly routers: SimRouter[] = [];
  /** Part of the news between control nodes that is dropped unread, as no real link does. */
  lossPart = 0;
  /** Addresses where nobody even refuses. */
  readonly holes = new Set<string>();
  constructor(readonly clock: simulatedClock.SimulatedClock) {}

  losesNews(): boolean {
    return this.lossPart > 0 && this.clock.random() < this.lossPart;
  }

  /** Each member's turns and beats at a phase of its own. */
  private every(ms: number, run: () => void): void {
    const again = (): void => {
      run();
      this.clock.schedule(ms, again);
    };
    this.clock.schedule(ms * this.clock.random(), again);
  }

  control(name: string, region: string, seeds: string[]): SimControl {
    const made = new SimControl(this, { address: `${name}:1`, name, zone: region, region });
    this.controls.set(made.info.address, made);
    made.dial.addAddresses(seeds);
    this.every(100, () => made.turn());
    this.every(link.HEARTBEAT_INTERVAL_MS, () => made.beat());
    return made;
  }

  router(name: string, region: string, seeds: string[]): SimRouter {
    const made = new SimRouter(this, name, region, seeds);
    this.routers.push(made);
    this.every(100, () => made.isUp && made.dial.maintainLinks());
    this.every(link.HEARTBEAT_INTERVAL_MS, () => made.beat());
    return made;
  }

  connect(address: string, handlers: link.Handlers): Promise<link.Link | null> {
    const target = this.controls.get(address);
    return new Promise((resolve) => {
      this.clock.schedule(this.holes.has(address) ? 900 : DELAY_MS, () => {
        if (!target?.isUp) return resolve(null);
        const [near, far] = [new SimSocket(this.clock), new SimSocket(this.clock)];
        near.other = far;
        far.other = near;
        new link.Link(this.clock, far as unknown as net.Socket, target.handlers);
        resolve(new link.Link(this.clock, near as unknown as net.Socket, handlers));
      });
    });
  }
}

export function nodeOf(name: string, role: string, region: string, address: string): schema.NodeInfo {
  return {
    name,
    role,
    life: `${name}/1`,
    zone: region,
    region,
    address,
    outside: `${name}:2`,
    disk: "",
    isCounted: false,
    isReady: true,
    epoch: types.FIRST_EPOCH,
  };
}
