/** Hollow routers: whole router programs without clients, many in one process (design/experiment 2). */
import * as routerProgram from "../router/router-program.js";
import type * as routerStatus from "../router/router-status.js";
import * as log from "../runtime/log.js";
import * as settings from "../settings/settings.js";
import * as vitals from "../runtime/vitals.js";
import * as counts from "../wire/counts.js";
import * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";
import * as measuringClock from "./measuring-clock.js";

const SAMPLE_INTERVAL_MS = 5;
/** Well within the time for which a region counts as used (design/usage 4.1). */
const RECORD_USE_INTERVAL_MS = 3000;
/** Dials are counted in slots of so many milliseconds. */
export const DIAL_SLOT_MS = 50;

/** A router put a revision in force. Times are of the machine's clock. */
export interface RevisionInForce {
  router: number;
  revision: number;
  atMs: number;
}

/** A router began to follow another control node, or none. */
export interface FollowedNodeChange {
  router: number;
  from: string | null;
  to: string | null;
  atMs: number;
}

/** What the routers of a process stand at. */
export interface Census {
  /** Routers by the control node that they follow; "" for none. */
  following: [string, number][];
  leastRevision: number;
}

/** What a process of routers saw since its last report. */
export interface RouterGroupReport {
  atMs: number;
  vitals: vitals.Vitals;
  links: [string, counts.LinkCount][];
  revisions: RevisionInForce[];
  followedChanges: FollowedNodeChange[];
  /** Dials begun in each 50 ms of the machine's clock that had any. */
  dials: [number, number][];
}

/** A router to start: its settings file, and the regions that it acts as if it sent requests to. */
export interface HollowRouterOptions {
  settings: string;
  regions: string[];
}

interface HollowRouter {
  program: routerProgram.RouterProgram;
  regions: string[];
  lastStanding: routerStatus.RouterPosition;
}

/** The hollow routers of one process. */
export class RouterGroup {
  private readonly hollows: HollowRouter[] = [];
  private revisions: RevisionInForce[] = [];
  private followedChanges: FollowedNodeChange[] = [];
  private dials = new Map<number, number>();
  private dialed = 0;
  private readonly timers: types.Timer[] = [];

  constructor(private readonly clock: types.Clock) {}

  /** Starts the routers one after the other; throws on bad settings. */
  async start(all: readonly HollowRouterOptions[]): Promise<void> {
    for (const options of all) {
      const parsed = settings.parse(options.settings);
      if (parsed.isErr) throw parsed.error;
      const program = new routerProgram.RouterProgram(this.clock, parsed.value);
      this.hollows.push({ program, regions: options.regions, lastStanding: program.position() });
      await program.root.start();
    }
    this.timers.push(
      timers.runPeriodically(this.clock, SAMPLE_INTERVAL_MS, () => this.sample()),
      timers.runPeriodically(this.clock, RECORD_USE_INTERVAL_MS, () => this.recordUse()),
    );
  }

  private recordUse(): void {
    for (const { program, regions } of this.hollows) for (const region of regions) program.load.recordSend(region);
  }

  private sample(): void {
    const atMs = measuringClock.machineMs();
    for (const [index, hollow] of this.hollows.entries()) {
      const now = hollow.program.position();
      if (now.revision !== hollow.lastStanding.revision) this.revisions.push({ router: index, revision: now.revision, atMs });
      if (now.following !== hollow.lastStanding.following)
        this.followedChanges.push({ router: index, from: hollow.lastStanding.following, to: now.following, atMs });
      hollow.lastStanding = now;
    }
    const dialed = log.counted().get("link.dials") ?? 0;
    if (dialed === this.dialed) return;
    const slot = Math.floor(atMs / DIAL_SLOT_MS);
    this.dials.set(slot, (this.dials.get(slot) ?? 0) + dialed - this.dialed);
    this.dialed = dialed;
  }

  /** Counts the routers by what they follow and hold. */
  census(): Census {
    const following = new Map<string, number>();
    let leastRevision = Infinity;
    for (const { program } of this.hollows) {
      const now = program.position();
      following.set(now.following ?? "", (following.get(now.following ?? "") ?? 0) + 1);
      leastRevision = Math.min(leastRevision, now.revision);
    }
    return { following: [...following], leastRevision };
  }

  /** What was seen since the last report. */
  report(): RouterGroupReport {
    const report = {
      atMs: measuringClock.machineMs(),
      vitals: vitals.vitals(),
      links: [...counts.linkCounts()],
      revisions: this.revisions,
      followedChanges: this.followedChanges,
      dials: [...this.dials],
    };
    this.revisions = [];
    this.followedChanges = [];
    this.dials = new Map();
    return report;
  }

  /** Stops all routers. */
  async stop(): Promise<void> {
    for (const timer of this.timers) timer.stop();
    await Promise.all(this.hollows.map(stopOne));
  }
}

function stopOne(hollow: HollowRouter): Promise<void> {
  return hollow.program.stop();
}
