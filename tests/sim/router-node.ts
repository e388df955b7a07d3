// Routers over a simulated network, as far as they follow control nodes and start.
import * as sessionSelector from "../../src/feed/session-selector.js";
import * as feedSubscriber from "../../src/feed/feed-subscriber.js";
import * as serveGate from "../../src/router/serve-gate.js";
import * as calls from "../../src/wire/calls.js";
import * as link from "../../src/wire/link.js";
import type * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as simulatedNodes from "./simulated-nodes.js";
import * as simControlNode from "./sim-control-node.js";
import * as networks from "./network.js";

export class RouterNode implements feedSubscriber.FeedListener {
  readonly handlers = new link.Handlers();
  readonly dial: simControlNode.MemberDialer;
  readonly follower: feedSubscriber.FeedSubscriber;
  readonly gate: serveGate.ServeGate;
  readonly epochs: { at: number; epoch: number }[] = [];
  openedAt = -1;
  epoch = types.NO_EPOCH;

  constructor(
    private readonly network: networks.SimNetwork,
    readonly name: string,
    region: string,
    seeds: readonly string[],
    unconfirmedMs = 900_000,
  ) {
    const world = new networks.NodeWorld(network, name);
    const selector = new sessionSelector.SessionSelector(world, { name, region });
    const describe = (): schema.NodeInfo => ({ ...simulatedNodes.nodeOf(name, "router", region, ""), isReady: this.gate.allows() });
    this.dial = new simControlNode.MemberDialer(world, "", this.handlers, describe, link.LINK_TIMEOUT_MS, selector);
    this.dial.reach = (address) => network.connect(name, address, this.handlers, world);
    this.gate = new serveGate.ServeGate(world, this.dial.controls, unconfirmedMs, () => (this.openedAt = network.clock.now()));
    this.dial.on("heartbeat", () => this.judge());
    this.follower = new feedSubscriber.FeedSubscriber(world, region, this.dial, this.handlers, () => [], this);
    this.handlers.on(calls.controls, (_from, told) => {
      this.dial.addControls(told.controls);
      return null;
    });
    this.dial.addAddresses(seeds.map(simControlNode.addressOf));
    simControlNode.every(world, link.HEARTBEAT_INTERVAL_MS, () => this.beat());
    simControlNode.every(world, 100, () => this.turn());
  }

  get main(): string {
    return this.follower.primary?.node.name ?? "";
  }

  private judge(): void {
    this.gate.update(this.epoch, true);
  }

  private beat(): void {
    this.dial.sendHeartbeats({ isReady: this.gate.allows(), epoch: this.epoch, isSettled: true, index: 0, members: 1, silentRegions: [] });
  }

  private turn(): void {
    this.judge();
    this.dial.maintainLinks();
    this.follower.selectPrimary();
    this.follower.updateSubscriptions();
  }

  onChange(applied: { stamp: types.Stamp }): void {
    this.epoch = types.small(applied.stamp);
    this.epochs.push({ at: this.network.clock.now(), epoch: this.epoch });
    this.judge();
  }

  onUnsubscribe(): void {}
}
