// A numbered feed of changes: a follower starts from a view or from its place on (design 6.4).
import * as calls from "../wire/calls.js";
import * as link from "../wire/link.js";

interface Entry {
  number: number;
  body: Buffer;
}

interface Follower {
  topics: readonly string[];
}

function isWanted(topics: readonly string[], topic: string): boolean {
  return topics.length === 0 || topics.includes(topic);
}

export class Feed {
  private number = 0;
  private readonly newest = new Map<string, Entry>();
  private readonly followers = new Map<link.Link, Follower>();

  constructor(readonly place: string) {}

  publish(topic: string, body: Buffer): void {
    const before = this.newest.get(topic);
    if (before && before.body.equals(body)) return;
    this.number += 1;
    this.newest.delete(topic);
    this.newest.set(topic, { number: this.number, body });
    for (const [follower, { topics }] of this.followers) {
      if (isWanted(topics, topic)) this.send(follower, topic, this.number, body);
    }
  }

  private send(to: link.Link, topic: string, number: number, body: Buffer): void {
    to.tell(calls.change, { place: this.place, number, topic, body });
  }

  /** Only the newest change of each topic is kept: older ones are within it. */
  follow(follower: link.Link, place: string, from: number, topics: readonly string[]): void {
    const after = place === this.place ? from : 0;
    for (const [topic, entry] of this.newest) {
      if (entry.number > after && isWanted(topics, topic)) this.send(follower, topic, entry.number, entry.body);
    }
    if (!this.followers.has(follower)) follower.once("end", this.forget.bind(this, follower));
    this.followers.set(follower, { topics });
  }

  *followersOf(topic: string): Generator<link.Link> {
    for (const [follower, { topics }] of this.followers) if (isWanted(topics, topic)) yield follower;
  }

  private forget(follower: link.Link): void {
    this.followers.delete(follower);
  }
}

export const REGISTER_TOPIC = "register";
export const LIST_TOPIC = "list";
export function cellTopic(region: string): string {
  return `cell:${region}`;
}
