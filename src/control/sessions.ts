// A node is a member while its session with a control node stands; siblings tell theirs (design 4.1).
import * as calls from "../wire/calls.js";
import * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../startup/log.js";

interface Session {
  node: schema.NodeInfo;
  link: link.Link;
}

const MISSED_MS = 900;

interface Told {
  nodes: schema.NodeInfo[];
  at: number;
}

export class Sessions {
  private readonly own = new Map<string, Session>();
  private readonly told = new Map<string, Told>();
  /** Routers that said they leave: siblings' older word does not bring them back. */
  private readonly left = new Map<string, number>();

  constructor(private readonly world: types.World, private readonly silentMs: number) {}

  enter(node: schema.NodeInfo, from: link.Link): void {
    const before = this.own.get(node.name);
    if (before && before.link !== from) before.link.end("a newer session of that node");
    this.own.set(node.name, { node, link: from });
    log.state(`session: ${node.name} (${node.role}) entered`);
    from.once("end", this.leave.bind(this, node.name, from));
  }

  private leave(name: string, from: link.Link, cause: string): void {
    if (this.own.get(name)?.link !== from) return;
    this.own.delete(name);
    log.state(`session: ${name} left: ${cause}`);
  }

  beat(from: link.Link, beat: schema.Beat): void {
    for (const session of this.own.values()) {
      if (session.link !== from) continue;
      if (session.node.isReady && !beat.isReady) this.left.set(session.node.life, this.world.now());
      if (beat.isReady) this.left.delete(session.node.life);
      session.node = { ...session.node, isReady: beat.isReady, epoch: beat.epoch };
      return;
    }
  }

  hear(from: link.Link, nodes: schema.NodeInfo[]): void {
    let sibling = "";
    for (const session of this.own.values()) {
      if (session.link !== from) continue;
      sibling = session.node.name;
      for (const node of nodes) if (node.name === sibling) session.node = node;
    }
    if (sibling === "") return;
    this.told.set(sibling, { nodes, at: this.world.now() });
  }

  /** Ends links that are silent: a cut says nothing. */
  sweep(): void {
    for (const session of [...this.own.values()]) {
      if (session.link.silentMs() > this.silentMs) session.link.end("silent");
    }
    for (const [sibling, told] of this.told) {
      if (this.world.now() - told.at > 2 * this.silentMs) this.told.delete(sibling);
    }
    for (const [life, at] of this.left) if (this.world.now() - at > 60_000) this.left.delete(life);
  }

  end(): void {
    for (const session of [...this.own.values()]) session.link.end("leaving");
  }

  isHeld(name: string): boolean {
    return this.own.has(name);
  }

  ownNodes(): schema.NodeInfo[] {
    const nodes: schema.NodeInfo[] = [];
    for (const session of this.own.values()) nodes.push(seen(session));
    return nodes;
  }

  /** All members by name: the own sessions first, then what siblings told lately. */
  members(role: string): schema.NodeInfo[] {
    const all = new Map<string, schema.NodeInfo>();
    for (const session of this.own.values()) if (session.node.role === role) all.set(session.node.name, seen(session));
    for (const told of this.told.values()) {
      for (const node of told.nodes) {
        if (node.role !== role || all.has(node.name)) continue;
        const left = this.left.get(node.life);
        all.set(node.name, left === undefined ? node : { ...node, isReady: false });
      }
    }
    return [...all.values()].sort(byName);
  }

  /** A beat to each own member, with its place among the routers: the base of its shares (design 8.1). */
  tellBeats(base: Omit<schema.Beat, "index" | "members">): void {
    const routers = this.members("router");
    const places = new Map<string, number>();
    for (const [index, node] of routers.entries()) places.set(node.name, index);
    for (const session of this.own.values()) {
      const index = places.get(session.node.name) ?? 0;
      session.link.tell(calls.beat, { ...base, index, members: Math.max(1, routers.length) });
    }
  }
}

/** Beats that stay out take a node out of the directory long before its session ends. */
function seen(session: Session): schema.NodeInfo {
  return session.link.silentMs() > MISSED_MS ? { ...session.node, isReady: false } : session.node;
}

function byName(left: schema.NodeInfo, right: schema.NodeInfo): number {
  return left.name < right.name ? -1 : left.name > right.name ? 1 : 0;
}
