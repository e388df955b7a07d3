// Regions of runners with work that comes and goes, read each period and told to simulated routers.
import * as feedPublisher from "../../src/feed/feed-publisher.js";
import * as feedTopics from "../../src/feed/feed-topics.js";
import type * as feedReplica from "../../src/feed/feed-replica.js";
import * as runnerFleet from "../../src/runners/runner-fleet.js";
import * as loadPublisher from "../../src/load/load-publisher.js";
import * as loadReader from "../../src/load/load-reader.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as feedLinks from "./feed-links.js";
import * as simulatedClock from "./simulated-clock.js";

export const PERIOD_MS = 600;
export const HEAD_BYTES = 10;

export function instance(id: string, zone: string, capacity = 16, service = "s"): schema.Instance {
  return { id: types.small(id), service, address: "127.0.0.1:9", zone, capacity, isDraining: false, coldMs: 0, leavesMs: -1 };
}

export function report(id: string, more: Partial<schema.Report> = {}): schema.Report {
  return { id: types.small(id), isSpeaking: true, waiting: 0, active: 0, kvUsed: 0, kvCapacity: 100_000, ...more };
}

/** Requests arrive at `perS` and stay ten seconds on the mean; what is past the capacity waits. */
export class Region {
  readonly instances: schema.Instance[] = [];
  reports: schema.Report[] = [];

  constructor(
    private readonly clock: simulatedClock.SimulatedClock,
    readonly name: string,
    count: number,
    private readonly capacity: number,
    private readonly perS: number,
  ) {
    for (let index = 0; index < count; index += 1) {
      this.instances.push(instance(`i-${name}-${index}`, name, capacity));
      this.reports.push(report(`i-${name}-${index}`, { active: Math.round(perS * 10) }));
    }
  }

  turn(): void {
    this.reports = this.reports.map((item) => {
      let held = item.active + item.waiting;
      for (let left = held; left > 0; left -= 1) if (this.clock.random() < 0.06) held -= 1;
      for (let most = 0; most < 10; most += 1) if (this.clock.random() < (this.perS * 0.6) / 10) held += 1;
      const active = Math.min(this.capacity, held);
      const isSpeaking = this.clock.random() < 0.998;
      return report(item.id, { isSpeaking, active, waiting: held - active, kvUsed: Math.min(100_000, active * 1200) });
    });
  }
}

/** One control node that reads all regions, and routers that follow it. */
export class System {
  readonly clock = new simulatedClock.SimulatedClock(11);
  readonly feed = new feedPublisher.FeedPublisher("place");
  readonly publisher = new loadPublisher.LoadPublisher(this.clock, this.feed);
  readonly regions: Region[];

  constructor(names: readonly string[], perRegion: number, capacity: number, perS: number) {
    this.regions = names.map((name) => new Region(this.clock, name, perRegion, capacity, perS));
    this.publisher.setInstances(
      this.instances(),
      new Map(this.regions.flatMap((region) => region.instances.map((item): [types.RunnerId, string] => [item.id, region.name]))),
    );
  }

  instances(): schema.Instance[] {
    return this.regions.flatMap((region) => region.instances);
  }

  async turn(router?: Router): Promise<void> {
    for (const region of this.regions) {
      region.turn();
      this.publisher.applyReport({ region: region.name, reports: this.publisher.selectChanges(region.name, region.reports) });
    }
    this.publisher.publishSummariesWhenDue();
    for (let step = 0; step < PERIOD_MS / 100; step += 1) {
      await this.clock.play(100);
      router?.watch();
    }
  }
}

export class Router {
  readonly fleet: runnerFleet.RunnerFleet;
  readonly reader: loadReader.LoadReader;
  readonly made: feedLinks.SimRouter;
  readonly session: feedLinks.Session;

  constructor(system: System, region: string) {
    this.fleet = new runnerFleet.RunnerFleet(system.clock, new Map(system.regions.map(({ name }) => [name, name])));
    this.reader = new loadReader.LoadReader(system.clock, this.fleet, region, () => undefined);
    this.fleet.applySnapshot(system.instances());
    this.made = new feedLinks.SimRouter(system.clock, region);
    this.made.topics = this.reader.followedTopics();
    this.made.applied.push = (...applied: feedReplica.AppliedChange[]) => {
      for (const item of applied) this.reader.applyUpdate(item);
      return applied.length;
    };
    this.reader.refresh(this.made.subscriber.replica);
    this.session = this.made.join("c", region, system.feed);
  }

  watch(): void {
    this.made.topics = this.reader.followedTopics();
    this.made.subscriber.updateSubscriptions();
    this.reader.refresh(this.made.subscriber.replica);
  }

  /** Bytes on the way to this router since the last time it was asked. */
  bytes(): number {
    return this.session.down.frames.splice(0).reduce((sum, frame) => sum + frame.bytes + HEAD_BYTES, 0);
  }

  cells(): string[] {
    return [...new Set(this.made.topics.filter((topic) => feedTopics.regionOf(topic) !== null))];
  }
}
