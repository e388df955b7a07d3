// Feed publishers and a subscriber joined by links that a test delays, disconnects and garbles; no sockets.
import * as events from "node:events";
import type * as controlNode from "../../src/feed/control-node.js";
import type * as dialer from "../../src/feed/dialer.js";
import type * as feedPublisher from "../../src/feed/feed-publisher.js";
import * as feedTopics from "../../src/feed/feed-topics.js";
import * as feedSubscriber from "../../src/feed/feed-subscriber.js";
import type * as feedReplica from "../../src/feed/feed-replica.js";
import * as calls from "../../src/wire/calls.js";
import * as link from "../../src/wire/link.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import type * as simulatedClock from "./simulated-clock.js";

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
    private readonly clock: simulatedClock.SimulatedClock,
    private readonly delayMs: number,
    private readonly deliver: (name: string, ask: unknown) => void,
  ) {
    super();
  }

  send<Ask>(pair: calls.Call<Ask, unknown>, ask: Ask): void {
    if (!this.isOpen) return;
    const bytes = pair.request.toBuffer(ask);
    if (this.isLosing) return;
    let read = pair.request.fromBuffer(bytes);
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
  control: controlNode.ControlNode;
  down: SimLink;
  up: SimLink;
}

/** A router's follower over simulated links to feeds that stand for control nodes. */
export class SimRouter extends events.EventEmitter {
  readonly controls = new Map<string, controlNode.ControlNode>();
  readonly sessions = new Map<string, Session>();
  readonly epochs: number[] = [];
  readonly applied: feedReplica.AppliedChange[] = [];
  readonly unsubscribed: [string, readonly string[]][] = [];
  readonly subscriber: feedSubscriber.FeedSubscriber;
  private readonly handlers = new link.Handlers();
  topics: string[] = [LIST];

  constructor(
    readonly clock: simulatedClock.SimulatedClock,
    region = "a",
  ) {
    super();
    this.subscriber = new feedSubscriber.FeedSubscriber(clock, region, this as unknown as dialer.Dialer, this.handlers, () => this.topics, {
      onUnsubscribe: (topic, keys) => this.unsubscribed.push([topic, keys]),
      onChange: (applied) => {
        this.applied.push(applied);
        if (applied.topic === feedTopics.REGISTER_TOPIC) this.epochs.push(applied.stamp);
      },
    });
  }

  receiveHeartbeat(): void {
    return undefined;
  }

  join(name: string, region: string, feed: feedPublisher.FeedPublisher, delayMs = 20): Session {
    const codes: Record<string, number> = { change: calls.change.code, notice: calls.notice.code, follow: calls.subscribe.code };
    const down: SimLink = new SimLink(this.clock, delayMs, (code, ask) =>
      this.handlers.get(codes[code])!(up as unknown as link.Link, ask as never),
    );
    const up: SimLink = new SimLink(this.clock, delayMs, (_code, ask) =>
      feed.subscribe(down as unknown as link.Link, ask as schema.Subscribe),
    );
    const control = {
      address: name,
      node: { name, region } as schema.NodeInfo,
      feedIncarnation: feed.incarnation,
      link: up as unknown as link.Link,
      heartbeat: null,
      heartbeatAt: Infinity,
      wasConfirmed: true,
      roundTripMs: 0,
    };
    const session = { control, down, up };
    this.controls.set(name, control);
    this.sessions.set(name, session);
    this.emit("up", control);
    return session;
  }

  disconnect(name: string): void {
    const session = this.sessions.get(name);
    if (!session) return;
    session.down.end("cut");
    session.up.isOpen = false;
    this.controls.delete(name);
    this.sessions.delete(name);
    this.emit("down", session.control);
  }

  held(topic: string): Record<string, string> {
    return Object.fromEntries([...this.subscriber.replica.bodies(topic)].map(([key, body]) => [key, body.toString()]).sort());
  }
}

export function stampOf(value: number): types.Stamp {
  return types.small(value);
}
