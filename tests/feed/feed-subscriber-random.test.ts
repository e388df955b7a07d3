// Random changes, lost frames, garbled digests, cut links, moves between control nodes and their restarts: a router
// always holds what some control node had at that epoch, never goes back, and ends at the newest (design/parts 1, 4).
import * as feedPublisher from "../../src/feed/feed-publisher.js";
import * as feedTopics from "../../src/feed/feed-topics.js";
import * as feedLinks from "../sim/feed-links.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const NAMES = ["a", "b", "c"];
const { items, stampOf, LIST } = feedLinks;

class Day {
  readonly clock: simulatedClock.SimulatedClock;
  readonly router: feedLinks.SimRouter;
  /** What was chosen, by epoch. */
  readonly chosen: Record<string, string>[] = [{}];
  private readonly known = new Map<string, number>();
  private readonly sources = new Map<string, feedPublisher.FeedPublisher>();
  private lives = 0;
  readonly seen: string[] = [];

  constructor(seed: number) {
    this.clock = new simulatedClock.SimulatedClock(seed);
    this.router = new feedLinks.SimRouter(this.clock);
    for (const name of NAMES) this.start(name);
  }

  pick(below: number): number {
    return Math.floor(this.clock.random() * below);
  }

  start(name: string): void {
    this.lives += 1;
    this.sources.set(name, new feedPublisher.FeedPublisher(`life-${this.lives}`));
    if (this.known.has(name)) this.publish(name, this.known.get(name)!);
    this.router.join(name, name, this.sources.get(name)!, 5 + this.pick(80));
  }

  publish(name: string, epoch: number): void {
    this.known.set(name, epoch);
    this.sources.get(name)!.publishSnapshot(feedTopics.REGISTER_TOPIC, items(this.chosen[epoch]), stampOf(epoch));
    this.sources.get(name)!.publishSnapshot(LIST, items({ of: name, at: String(epoch) }), stampOf(this.clock.now()));
  }

  change(): void {
    const next = { ...this.chosen.at(-1)! };
    for (let count = this.pick(4); count >= 0; count -= 1) {
      const key = `k${this.pick(30)}`;
      if (this.clock.random() < 0.3) delete next[key];
      else next[key] = String(this.pick(5));
    }
    this.chosen.push(next);
    // Not all control nodes hear of it, as when one is cut off from the core.
    for (const name of NAMES) if (this.clock.random() < 0.8) this.publish(name, this.chosen.length - 1);
  }

  trouble(): void {
    const name = NAMES[this.pick(3)];
    const session = this.router.sessions.get(name);
    const kind = this.pick(5);
    if (kind === 0) this.router.disconnect(name);
    else if (kind === 1 && session) session.down.isLosing = !session.down.isLosing;
    else if (kind === 2 && session) session.down.garble = !session.down.garble;
    else if (kind === 3 && session) session.up.isLosing = !session.up.isLosing;
    else if (!session) this.start(name);
  }

  calm(): void {
    for (const name of NAMES) {
      this.router.disconnect(name);
      this.start(name);
      this.publish(name, this.chosen.length - 1);
    }
  }

  /** What the router shows must be an epoch as it was chosen, and none lower than before. */
  check(): void {
    const { epochs, subscriber: follower } = this.router;
    for (const [index, epoch] of epochs.entries())
      if (index > 0 && epoch <= epochs[index - 1]) throw new Error(`back from ${epochs[index - 1]} to ${epoch}`);
    if (!follower.replica.has(feedTopics.REGISTER_TOPIC)) return;
    expect(this.router.held(feedTopics.REGISTER_TOPIC)).toEqual(Object.fromEntries(Object.entries(this.chosen[epochs.at(-1)!]).sort()));
    const list = this.router.held(LIST);
    if (follower.replica.has(LIST)) expect(NAMES).toContain(list["of"]);
  }
}

test.each(Array.from({ length: 40 }, (_item, index) => index + 1))("seed %s", async (seed) => {
  const day = new Day(seed * 7919);
  for (let turn = 0; turn < 120; turn += 1) {
    if (day.clock.random() < 0.5) day.change();
    if (day.clock.random() < 0.3) day.trouble();
    await day.clock.play(day.pick(300));
    day.router.subscriber.selectPrimary();
    day.check();
  }
  day.calm();
  await day.clock.play(2000);
  day.check();
  expect(day.router.epochs.at(-1)).toBe(day.chosen.length - 1);
  expect(day.router.held(LIST)).toEqual({ at: String(day.chosen.length - 1), of: day.router.subscriber.primary!.node.name });
});

test("the checker sees a router that shows what was never chosen, and one that goes back", async () => {
  const day = new Day(5);
  day.change();
  day.change();
  day.calm();
  await day.clock.play(1000);
  day.check();
  day.chosen[day.router.epochs.at(-1)!] = { k: "other" };
  expect(() => day.check()).toThrow();
  day.router.epochs.push(1);
  expect(() => day.check()).toThrow(/back from 2 to 1/);
});
