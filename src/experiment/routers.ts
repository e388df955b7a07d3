// Hollow routers: whole router programs without clients, many in one process (design/experiment 2).
import * as router from "../router/program.js";
import * as log from "../startup/log.js";
import * as settings from "../startup/settings.js";
import * as vitals from "../startup/vitals.js";
import * as counts from "../wire/counts.js";
import * as types from "../wire/types.js";
import * as world from "../wire/world.js";
import * as clock from "./clock.js";

const LOOK_MS = 5;
/** Well within the time for which a region counts as used (design/usage 4.1). */
const USE_MS = 3000;
export const DIALS_MS = 50;

/** A router took a revision, or began to follow another control node. Times are of the machine's clock. */
export interface Taken {
  router: number;
  revision: number;
  atMs: number;
}

export interface Moved {
  router: number;
  from: string | null;
  to: string | null;
  atMs: number;
}

export interface Census {
  /** Routers by the control node that they follow; "" for none. */
  following: [string, number][];
  leastRevision: number;
}

export interface Account {
  atMs: number;
  vitals: vitals.Vitals;
  links: [string, counts.LinkCount][];
  taken: Taken[];
  moved: Moved[];
  /** Dials begun in each 50 ms of the machine's clock that had any. */
  dials: [number, number][];
}

/** A router to start: its settings file, and the regions that it acts as if it sent requests to. */
export interface Wanted {
  settings: string;
  regions: string[];
}

interface Hollow {
  program: router.RouterProgram;
  regions: string[];
  seen: router.Standing;
}

export class RouterGroup {
  private readonly hollows: Hollow[] = [];
  private taken: Taken[] = [];
  private moved: Moved[] = [];
  private dials = new Map<number, number>();
  private dialed = 0;
  private readonly ticks: types.Tick[] = [];

  constructor(private readonly world: types.World) {}

  async start(all: readonly Wanted[]): Promise<void> {
    for (const wanted of all) {
      const startup = settings.parse(wanted.settings);
      if (startup.isErr) throw startup.error;
      const program = new router.RouterProgram(this.world, startup.value);
      this.hollows.push({ program, regions: wanted.regions, seen: program.standing() });
      await program.root.start();
    }
    this.ticks.push(world.every(this.world, LOOK_MS, this.look.bind(this)), world.every(this.world, USE_MS, this.use.bind(this)));
  }

  private use(): void {
    for (const { program, regions } of this.hollows) for (const region of regions) program.usage.sent(region);
  }

  private look(): void {
    const atMs = clock.machineMs();
    for (const [index, hollow] of this.hollows.entries()) {
      const now = hollow.program.standing();
      if (now.revision !== hollow.seen.revision) this.taken.push({ router: index, revision: now.revision, atMs });
      if (now.following !== hollow.seen.following) this.moved.push({ router: index, from: hollow.seen.following, to: now.following, atMs });
      hollow.seen = now;
    }
    const dialed = log.counted().get("link.dials") ?? 0;
    if (dialed === this.dialed) return;
    const slot = Math.floor(atMs / DIALS_MS);
    this.dials.set(slot, (this.dials.get(slot) ?? 0) + dialed - this.dialed);
    this.dialed = dialed;
  }

  census(): Census {
    const following = new Map<string, number>();
    let leastRevision = Infinity;
    for (const { program } of this.hollows) {
      const now = program.standing();
      following.set(now.following ?? "", (following.get(now.following ?? "") ?? 0) + 1);
      leastRevision = Math.min(leastRevision, now.revision);
    }
    return { following: [...following], leastRevision };
  }

  /** What was seen since the last account. */
  account(): Account {
    const made = {
      atMs: clock.machineMs(),
      vitals: vitals.vitals(),
      links: [...counts.linkCounts()],
      taken: this.taken,
      moved: this.moved,
      dials: [...this.dials],
    };
    this.taken = [];
    this.moved = [];
    this.dials = new Map();
    return made;
  }

  async stop(): Promise<void> {
    for (const tick of this.ticks) tick.stop();
    await Promise.all(this.hollows.map(stopOne));
  }
}

function stopOne(hollow: Hollow): Promise<void> {
  return hollow.program.stop();
}
