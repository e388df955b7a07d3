/**
 * The membership as one control node knows it (design 4.1, design/members): its own sessions, the memberships that its peers
 * publish, and the routers that follow from both.
 */
import * as calls from "../../wire/calls.js";
import type * as link from "../../wire/link.js";
import type * as schema from "../../wire/schema.js";
import type * as types from "../../wire/types.js";
import * as drainWindows from "../../settings/drain-windows.js";
import * as drainNotices from "./drain-notices.js";
import * as membershipExchange from "./membership-exchange.js";
import * as sessions from "./sessions.js";
import * as shrinkGuard from "./shrink-guard.js";

/** The view of the routers is computed again after so long, even when nothing is known to have changed. */
const VIEW_TTL_MS = 100;

/** The routers as computed last. */
interface RouterView {
  readonly routers: shrinkGuard.ObservedNode[];
  readonly computedAt: number;
}

/** Members by session here or at a peer. */
export class Membership {
  private readonly sessions: sessions.Sessions;
  private readonly drainNotices: drainNotices.DrainNotices;
  private readonly exchange: membershipExchange.MembershipExchange;
  private readonly shrinkGuard: shrinkGuard.ShrinkGuard;
  /** Null: something changed since it was computed. */
  private routerView: RouterView | null = null;

  /** `timeoutMs`: a session whose link is silent for longer ends. */
  constructor(
    private readonly clock: types.Clock,
    private readonly timeoutMs: number,
    incarnation: string,
  ) {
    this.sessions = new sessions.Sessions(timeoutMs, () => this.invalidateView());
    this.drainNotices = new drainNotices.DrainNotices(clock);
    this.exchange = new membershipExchange.MembershipExchange(clock, incarnation);
    this.shrinkGuard = new shrinkGuard.ShrinkGuard(clock);
  }

  private invalidateView(): void {
    this.routerView = null;
  }

  /** A node sent a hello; a newer session of a node ends the older one. */
  openSession(node: schema.NodeInfo, from: link.Link): void {
    this.sessions.open(node, from);
  }

  /** A heartbeat of a node with a session: whether it is ready, and the epoch in force there. */
  receiveHeartbeat(from: link.Link, heartbeat: schema.Heartbeat): void {
    const session = this.sessions.ofLink(from);
    if (!session) return;
    const { node } = session;
    session.features = heartbeat.index;
    if (node.isReady === heartbeat.isReady && node.epoch === heartbeat.epoch) return;
    if (node.isReady && !heartbeat.isReady) this.drainNotices.record(node.life);
    if (heartbeat.isReady) this.drainNotices.withdraw(node.life);
    session.node = { ...node, isReady: heartbeat.isReady, epoch: heartbeat.epoch };
    this.invalidateView();
  }

  /** A snapshot or delta of a peer's membership; after a gap a snapshot is requested from it. */
  receivePeerMembership(from: link.Link, update: schema.RosterUpdate): void {
    const session = this.sessions.ofLink(from);
    if (!session) return;
    const peer = session.node.name;
    for (const node of update.nodes) if (node.name === peer) session.node = node;
    for (const incarnation of update.leaving) this.drainNotices.recordFromPeer(incarnation);
    if (update.nodes.length > 0 || update.gone.length > 0 || update.leaving.length > 0) this.invalidateView();
    this.exchange.receive(peer, from, update);
  }

  /** A peer noticed a gap: the next update to it is a full snapshot. */
  forgetOffset(to: link.Link): void {
    this.exchange.forgetOffset(to);
  }

  /** With each heartbeat, to each peer: what changed since the last update it was sent. */
  publishToPeers(self: schema.NodeInfo, peers: Iterable<link.Link>, controls: schema.ControlInfo[]): void {
    const nodes = [self, ...this.sessions.nodes("router")];
    this.exchange.publish(nodes, this.drainNotices.incarnations(), peers, controls);
  }

  /** Sends the known control nodes to the routers that have sessions here. */
  publishControls(controls: schema.ControlInfo[]): void {
    for (const { node, link } of this.sessions.all()) if (node.role === "router") link.send(calls.controls, { controls });
  }

  /**
   * Sends a heartbeat to each node with a session, with the number of routers: connections and capacities are divided by it
   * (design 7.6). Control nodes get `base.index`, the features of this node, and each router its index among the routers.
   */
  sendHeartbeats(base: Omit<schema.Heartbeat, "members">): void {
    const routers = this.routers();
    const indexes = new Map(routers.map(({ node }, index) => [node.name, index]));
    for (const { node, link } of this.sessions.all()) {
      const index = node.role === "control" ? base.index : (indexes.get(node.name) ?? 0);
      link.send(calls.heartbeat, { ...base, index, members: Math.max(1, routers.length) });
    }
  }

  /** Ends silent sessions and forgets peers and drain notices that are out of date. */
  expireSilent(): void {
    this.sessions.closeSilent();
    this.exchange.expire(2 * this.timeoutMs);
    this.drainNotices.expire();
    this.routers();
  }

  /** Ends all sessions: this node shuts down. */
  closeSessions(): void {
    this.sessions.closeAll();
  }

  /** Whether this node itself has a session with the node of that name. */
  hasSession(name: string): boolean {
    return this.sessions.has(name);
  }

  /** Whether the router announced its drain so recently that it still takes requests (`drainWindows.namedMs`). */
  stillServes(node: schema.NodeInfo, graceMs: number): boolean {
    return this.drainNotices.isRecent(node.life, drainWindows.drainWindows(graceMs).namedMs);
  }

  /** Whether the router announced that it shuts down. */
  isDraining(node: schema.NodeInfo): boolean {
    return this.drainNotices.has(node.life);
  }

  /** All members of a role, by name. */
  withRole(role: string): schema.NodeInfo[] {
    return role === "router" ? this.routers().map(({ node }) => node) : this.observedNodes(role);
  }

  /** The routers with sessions here that are ready, and their links. */
  readyRouters(): Generator<{ node: schema.NodeInfo; link: link.Link }> {
    return this.sessions.readyRouters();
  }

  /** All routers with sessions here, ready or not. */
  *routerSessions(): Generator<sessions.Session> {
    for (const session of this.sessions.all()) if (session.node.role === "router") yield session;
  }

  /** Control nodes that have a session here, but for the one named. */
  connectedControls(except: string): schema.NodeInfo[] {
    return this.observedNodes("control").filter((node) => node.name !== except && this.hasSession(node.name));
  }

  /** The routers by name, with those that the shrink guard keeps (design/members 5). */
  routers(): shrinkGuard.ObservedNode[] {
    const now = this.clock.now();
    if (this.routerView && now - this.routerView.computedAt < VIEW_TTL_MS) return this.routerView.routers;
    const routers = this.shrinkGuard.updateView(this.observedNodes("router"), (incarnation) => this.drainNotices.has(incarnation));
    this.routerView = { routers, computedAt: now };
    return routers;
  }

  /** The ready routers that have sessions here; all routers when there is none (design/hardening/1-cut-off). */
  ownRouters(): shrinkGuard.ObservedNode[] {
    const own = [...this.readyRouters()].map(({ node }) => ({ node, isConfirmed: true }));
    return own.length > 0 ? own.sort((left, right) => compareNames(left.node, right.node)) : this.routers();
  }

  /** The members of a role by name: own sessions go before what peers published, and of that a ready one first. */
  private observedNodes(role: string): schema.NodeInfo[] {
    const all = new Map<string, schema.NodeInfo>();
    for (const node of this.exchange.peerNodes()) {
      if (node.role !== role || (all.get(node.name)?.isReady && !node.isReady)) continue;
      all.set(node.name, this.drainNotices.has(node.life) ? { ...node, isReady: false } : node);
    }
    for (const node of this.sessions.nodes(role)) all.set(node.name, node);
    return [...all.values()].sort(compareNames);
  }
}

function compareNames(left: schema.NodeInfo, right: schema.NodeInfo): number {
  return left.name < right.name ? -1 : left.name > right.name ? 1 : 0;
}
