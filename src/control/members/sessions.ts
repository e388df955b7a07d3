/** The sessions of one control node: the nodes that sent it a hello, each with the link it came over (design 4.1). */
import type * as link from "../../wire/link.js";
import type * as schema from "../../wire/schema.js";
import * as log from "../../runtime/log.js";

/** A node whose link was silent for longer counts as not ready, long before its session ends. */
const MISSED_HEARTBEATS_MS = 900;

/** A node that sent a hello to this one, and its link. */
export interface Session {
  /** As its last heartbeat or membership update says. */
  node: schema.NodeInfo;
  readonly link: link.Link;
  /** As its last heartbeat names them (features.ts); 0 before the first. */
  features: number;
}

/** Sessions by node and by link. A session ends with its link. */
export class Sessions {
  private readonly byNode = new Map<string, Session>();
  private readonly byLink = new Map<link.Link, Session>();

  /** `onChange` is called before a session's opening or end is visible to others. */
  constructor(
    private readonly timeoutMs: number,
    private readonly onChange: () => void,
  ) {}

  /** Opens a session; a newer session of a node ends the older one. */
  open(node: schema.NodeInfo, from: link.Link): void {
    const previous = this.byNode.get(node.name);
    const session = { node, link: from, features: 0 };
    this.byNode.set(node.name, session);
    this.byLink.set(from, session);
    this.onChange();
    if (previous && previous.link !== from) previous.link.end("a newer session of that node");
    log.state(`session: ${node.name} (${node.role}) opened`);
    from.once("end", (cause) => this.close(node.name, from, cause));
  }

  private close(name: string, from: link.Link, cause: string): void {
    this.byLink.delete(from);
    if (this.byNode.get(name)?.link !== from) return;
    this.byNode.delete(name);
    this.onChange();
    log.state(`session: ${name} closed: ${cause}`);
  }

  /** The session whose node dialed this link. */
  ofLink(from: link.Link): Session | undefined {
    return this.byLink.get(from);
  }

  /** Whether the node of that name has a session here. */
  has(name: string): boolean {
    return this.byNode.has(name);
  }

  /** All open sessions. */
  all(): Iterable<Session> {
    return this.byNode.values();
  }

  /** The nodes of one role, not ready while their heartbeats are missing. */
  *nodes(role: string): Generator<schema.NodeInfo> {
    for (const session of this.byNode.values()) if (session.node.role === role) yield observed(session);
  }

  /** The ready routers and their links. */
  *readyRouters(): Generator<{ node: schema.NodeInfo; link: link.Link }> {
    for (const session of this.byNode.values()) {
      const node = observed(session);
      if (node.role === "router" && node.isReady) yield { node, link: session.link };
    }
  }

  /** Ends the sessions whose links are silent: a network partition closes no connection. */
  closeSilent(): void {
    for (const { link } of [...this.byNode.values()]) if (link.idleMs() > this.timeoutMs) link.end("silent");
  }

  /** Ends all sessions: this node shuts down. */
  closeAll(): void {
    for (const { link } of [...this.byNode.values()]) link.end("leaving");
  }
}

/** Missing heartbeats take a node out of the directory long before its session ends. */
function observed({ node, link }: Session): schema.NodeInfo {
  return link.idleMs() > MISSED_HEARTBEATS_MS ? { ...node, isReady: false } : node;
}
