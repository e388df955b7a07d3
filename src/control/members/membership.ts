// A node is a member while its session with a control node stands; siblings tell theirs, by differences
// (design 4.1, design/members 1).
import * as calls from "../../wire/calls.js";
import * as link from "../../wire/link.js";
import * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import * as log from "../../runtime/log.js";
import * as directory from "../directory/directory.js";
import * as shrinkGuard from "./shrink-guard.js";
import * as rosters from "./roster.js";

/** A node that said hello here, and its link. */
interface Session {
  node: schema.NodeInfo;
  link: link.Link;
}

const MISSED_MS = 900;
const ASK_MS = 600;
const VIEW_MS = 100;
const LEFT_MS = 60_000;

/** What another control node reported of its roster. */
interface Reported {
  roster: rosters.PeerRoster;
  /** When its last report came. */
  at: number;
  /** When its whole roster was last asked for. */
  askedAt: number;
}

/** The members as this control node knows them: own sessions, and the rosters that other control nodes report. */
export class Membership {
  private readonly own = new Map<string, Session>();
  private readonly byLink = new Map<link.Link, Session>();
  private readonly reported = new Map<string, Reported>();
  /** Lives of routers that said they leave: siblings' older word does not bring them back. */
  private readonly left = new Map<string, number>();
  private readonly roster: rosters.Roster;
  /** How far each sibling was told the roster, by its link. */
  private readonly places = new Map<link.Link, number>();
  private readonly shrinkGuard: shrinkGuard.ShrinkGuard;
  private controls: schema.ControlInfo[] = [];
  private view: shrinkGuard.ObservedNode[] = [];
  private viewAt = -1;

  constructor(
    private readonly world: types.Clock,
    private readonly silentMs: number,
    life: string,
  ) {
    this.roster = new rosters.Roster(life);
    this.shrinkGuard = new shrinkGuard.ShrinkGuard(world);
  }

  /** A node said hello; a newer session of the same name ends the older one. */
  enter(node: schema.NodeInfo, from: link.Link): void {
    const before = this.own.get(node.name);
    const session = { node, link: from };
    this.own.set(node.name, session);
    this.byLink.set(from, session);
    this.viewAt = -1;
    if (before && before.link !== from) before.link.end("a newer session of that node");
    log.state(`session: ${node.name} (${node.role}) entered`);
    from.once("end", this.leave.bind(this, node.name, from));
  }

  private leave(name: string, from: link.Link, cause: string): void {
    this.byLink.delete(from);
    if (this.own.get(name)?.link !== from) return;
    this.own.delete(name);
    this.viewAt = -1;
    log.state(`session: ${name} left: ${cause}`);
  }

  /** A beat of a node with a session: whether it is ready, and the epoch in force there. */
  receiveHeartbeat(from: link.Link, beat: schema.Beat): void {
    const session = this.byLink.get(from);
    if (!session) return;
    const { node } = session;
    if (node.isReady === beat.isReady && node.epoch === beat.epoch) return;
    if (node.isReady && !beat.isReady) this.left.set(node.life, this.world.now());
    if (beat.isReady) this.left.delete(node.life);
    session.node = { ...node, isReady: beat.isReady, epoch: beat.epoch };
    this.viewAt = -1;
  }

  /** A sibling's roster or what changed in it; after a gap the whole is asked for, once. */
  receiveRoster(from: link.Link, news: schema.Sessions): void {
    const session = this.byLink.get(from);
    if (!session) return;
    const peer = session.node.name;
    for (const node of news.nodes) if (node.name === peer) session.node = node;
    const report = this.reported.get(peer) ?? { roster: new rosters.PeerRoster(), at: 0, askedAt: -ASK_MS };
    const now = this.world.now();
    report.at = now;
    this.reported.set(peer, report);
    for (const life of news.leaving) if (!this.left.has(life)) this.left.set(life, now);
    if (news.nodes.length > 0 || news.gone.length > 0 || news.leaving.length > 0) this.viewAt = -1;
    if (report.roster.applyUpdate(news) || now - report.askedAt < ASK_MS) return;
    report.askedAt = now;
    log.count("members.gap");
    from.tell(calls.whole, { _: false });
  }

  /** A sibling misses something: its next telling is whole. */
  forgetOffset(from: link.Link): void {
    this.places.delete(from);
  }

  /** With each beat, to each sibling: what changed since it was told last (design/members 1). */
  publishRoster(self: schema.NodeInfo, siblings: Iterable<link.Link>, controls: schema.ControlInfo[]): void {
    const nodes = [self];
    for (const session of this.own.values()) if (session.node.role === "router") nodes.push(this.seen(session));
    this.roster.update(nodes, this.left.keys());
    const isNew = controls.length !== this.controls.length || controls.some(differs.bind(null, this.controls));
    this.controls = controls;
    for (const to of siblings) {
      const place = this.places.get(to);
      const news = this.roster.deltaSince(place ?? -1);
      if (news.isWhole) log.count("members.whole");
      log.count("members.entries", news.nodes.length + news.gone.length);
      to.tell(calls.sessions, isNew || news.isWhole ? { ...news, controls } : news);
      if (place === undefined) to.once("end", this.forgetOffset.bind(this, to));
      this.places.set(to, this.roster.newestNumber);
    }
  }

  /** Control nodes newly met are told to the routers that hold sessions here. */
  publishControls(controls: schema.ControlInfo[]): void {
    for (const session of this.own.values()) if (session.node.role === "router") session.link.tell(calls.controls, { controls });
  }

  /** Ends links that are silent: a cut says nothing. */
  expireSilent(): void {
    const now = this.world.now();
    for (const session of [...this.own.values()]) {
      if (session.link.silentMs() > this.silentMs) session.link.end("silent");
    }
    for (const [peer, report] of this.reported) {
      if (now - report.at > 2 * this.silentMs) this.reported.delete(peer);
    }
    for (const [life, at] of this.left) if (now - at > LEFT_MS) this.left.delete(life);
    this.routers();
  }

  /** Ends all sessions: this node leaves. */
  closeSessions(): void {
    for (const session of [...this.own.values()]) session.link.end("leaving");
  }

  /** Whether this node itself has a session with the node of that name. */
  hasSession(name: string): boolean {
    return this.own.has(name);
  }

  /** Whether the router said that it leaves so lately that it still takes connections. */
  stillServes(node: schema.NodeInfo): boolean {
    const leftAt = this.left.get(node.life);
    return leftAt !== undefined && this.world.now() - leftAt < directory.STILL_SERVES_MS;
  }

  private hasLeft(life: string): boolean {
    return this.left.has(life);
  }

  /** All members by name: the own sessions first, then what siblings told; one that any of them hears is ready. */
  private heard(role: string): schema.NodeInfo[] {
    const all = new Map<string, schema.NodeInfo>();
    for (const { roster } of this.reported.values()) {
      for (const node of roster.all()) {
        if (node.role !== role || (all.get(node.name)?.isReady && !node.isReady)) continue;
        all.set(node.name, this.left.has(node.life) ? { ...node, isReady: false } : node);
      }
    }
    for (const session of this.own.values()) if (session.node.role === role) all.set(session.node.name, this.seen(session));
    return [...all.values()].sort(byName);
  }

  /** The routers as believed (design/members 5), by name; made anew when something changed or 100 ms passed. */
  routers(): shrinkGuard.ObservedNode[] {
    const now = this.world.now();
    if (this.viewAt >= 0 && now - this.viewAt < VIEW_MS) return this.view;
    this.view = this.shrinkGuard.updateView(this.heard("router"), this.hasLeft.bind(this));
    this.viewAt = now;
    return this.view;
  }

  /** The routers heard here on links of their own; all that are believed when there is none (design/hardening/1-cut-off). */
  ownRouters(): shrinkGuard.ObservedNode[] {
    const heard: shrinkGuard.ObservedNode[] = [];
    for (const { node } of this.readyRouters()) heard.push({ node, isConfirmed: true });
    return heard.length > 0 ? heard.sort(bySeenName) : this.routers();
  }

  /** The routers with sessions here that are ready, and their links. */
  *readyRouters(): Generator<{ node: schema.NodeInfo; link: link.Link }> {
    for (const session of this.own.values()) {
      const node = this.seen(session);
      if (node.role === "router" && node.isReady) yield { node, link: session.link };
    }
  }

  /** Control nodes whose sessions stand here, but for the one named. */
  connectedControls(except: string): schema.NodeInfo[] {
    return this.heard("control").filter((node) => node.name !== except && this.hasSession(node.name));
  }

  /** All members of a role, by name. */
  withRole(role: string): schema.NodeInfo[] {
    return role === "router" ? this.routers().map(nodeOf) : this.heard(role);
  }

  /** Beats that stay out take a node out of the directory long before its session ends. */
  private seen(session: Session): schema.NodeInfo {
    return session.link.silentMs() > MISSED_MS ? { ...session.node, isReady: false } : session.node;
  }

  /**
   * A beat to each own member, with the number of routers: connections and rooms are split by it (design 7.6). Control
   * nodes get `base.index`, the features of this node, and each router its place.
   */
  sendHeartbeats(base: Omit<schema.Beat, "members">): void {
    const routers = this.withRole("router");
    const places = new Map<string, number>();
    for (const [index, node] of routers.entries()) places.set(node.name, index);
    for (const session of this.own.values()) {
      const index = session.node.role === "control" ? base.index : (places.get(session.node.name) ?? 0);
      session.link.tell(calls.beat, { ...base, index, members: Math.max(1, routers.length) });
    }
  }
}

function nodeOf(seen: shrinkGuard.ObservedNode): schema.NodeInfo {
  return seen.node;
}

function differs(before: readonly schema.ControlInfo[], control: schema.ControlInfo, index: number): boolean {
  const old = before[index];
  return old?.address !== control.address || old.name !== control.name;
}

function bySeenName(left: shrinkGuard.ObservedNode, right: shrinkGuard.ObservedNode): number {
  return byName(left.node, right.node);
}

function byName(left: schema.NodeInfo, right: schema.NodeInfo): number {
  return left.name < right.name ? -1 : left.name > right.name ? 1 : 0;
}
