// Feeds and a follower joined by links that a test delays, cuts and garbles; no sockets.
import * as events from "node:events";
import type * as dialer from "../../src/feed/dialer.js";
import * as feeds from "../../src/feed/feed.js";
import * as followers from "../../src/feed/follower.js";
import type * as mirrors from "../../src/feed/mirror.js";
import * as calls from "../../src/wire/calls.js";
import * as link from "../../src/wire/link.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import type * as sims from "./world.js";

export const LIST = "list:a";

export function changes(of: Record<string, string | null>): Map<string, Buffer | null> {
  return new Map(Object.entries(of).map(([key, text]) => [key, text === null ? null : Buffer.from(text)]));
}

export function items(of: Record<string, string>): Map<string, Buffer> {
  return changes(of) as Map<string, Buffer>;
}

export interface Frame {
  name: string;
  ask: unknown;
  bytes: number;
}

/** One direction at the publisher: what it tells is encoded as on the wire and may be lost. */
export class SimLink extends events.EventEmitter {
  isOpen = true;
  isLosing = false;
  garble = false;
  readonly frames: Frame[] = [];

  constructor(
    private readonly clock: sims.SimWorld,
    private readonly delayMs: number,
    private readonly deliver: (name: string, ask: unknown) => void,
  ) {
    super();
  }

  tell<Ask>(pair: calls.Pair<Ask, unknown>, ask: Ask): void {
    if (!this.isOpen) return;
    const bytes = pair.ask.toBuffer(ask);
    if (this.isLosing) return;
    let read = pair.ask.fromBuffer(bytes);
    if (this.garble && pair.name === "change") read = { ...read, digest: "0123456789abcdef" };
    this.frames.push({ name: pair.name, ask: read, bytes: bytes.length });
    this.clock.schedule(this.delayMs, () => this.isOpen && this.deliver(pair.name, read));
  }

  end(cause: string): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.emit("end", cause);
  }
}

export interface Session {
  control: dialer.Control;
  down: SimLink;
  up: SimLink;
}

/** A router's follower over simulated links to feeds that stand for control nodes. */
export class SimRouter extends events.EventEmitter {
  readonly controls = new Map<string, dialer.Control>();
  readonly sessions = new Map<string, Session>();
  readonly epochs: number[] = [];
  readonly applied: mirrors.Applied[] = [];
  readonly left: [string, readonly string[]][] = [];
  readonly follower: followers.Follower;
  private readonly handlers = new link.Handlers();
  topics: string[] = [LIST];

  constructor(
    readonly clock: sims.SimWorld,
    region = "a",
  ) {
    super();
    this.follower = new followers.Follower(clock, region, this as unknown as dialer.Dialer, this.handlers, () => this.topics, {
      leave: (topic, keys) => this.left.push([topic, keys]),
      take: (applied) => {
        this.applied.push(applied);
        if (applied.topic === feeds.REGISTER_TOPIC) this.epochs.push(applied.stamp);
      },
    });
  }

  heard(): void {
    return undefined;
  }

  join(name: string, region: string, feed: feeds.Feed, delayMs = 20): Session {
    const codes: Record<string, number> = { change: calls.change.code, notice: calls.notice.code, follow: calls.follow.code };
    const down: SimLink = new SimLink(this.clock, delayMs, (code, ask) =>
      this.handlers.get(codes[code])!(up as unknown as link.Link, ask as never),
    );
    const up: SimLink = new SimLink(this.clock, delayMs, (_code, ask) => feed.follow(down as unknown as link.Link, ask as schema.Follow));
    const control = {
      address: name,
      node: { name, region } as schema.NodeInfo,
      place: feed.place,
      link: up as unknown as link.Link,
      beat: null,
      beatAt: Infinity,
      wasConfirmed: true,
      tripMs: 0,
    };
    const session = { control, down, up };
    this.controls.set(name, control);
    this.sessions.set(name, session);
    this.emit("up", control);
    return session;
  }

  cut(name: string): void {
    const session = this.sessions.get(name);
    if (!session) return;
    session.down.end("cut");
    session.up.isOpen = false;
    this.controls.delete(name);
    this.sessions.delete(name);
    this.emit("down", session.control);
  }

  held(topic: string): Record<string, string> {
    return Object.fromEntries([...this.follower.mirror.bodies(topic)].map(([key, body]) => [key, body.toString()]).sort());
  }
}

export function stampOf(value: number): types.Stamp {
  return types.small(value);
}
