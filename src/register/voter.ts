// One voter: promises and accepts, synced to disk before each reply (design 5.2).
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as value from "./value.js";
import * as log from "../startup/log.js";

/** Where the voter keeps its record; the ring in use, a simulated disk in tests. */
export interface Keep {
  write(body: Buffer): Promise<void>;
}

const MOST_PENDING = 64;

/** The voter of one disk. */
export class Voter {
  private writing = false;
  private pending: { resolve(isKept: boolean): void }[] = [];

  constructor(
    private readonly keep: Keep,
    private state: schema.Disk,
  ) {}

  static restore(bytes: Buffer): schema.Disk {
    return schema.disk.fromBuffer(bytes);
  }

  get disk(): string {
    return this.state.disk;
  }

  /** The highest ballot promised; lower ones are denied. */
  get promised(): schema.Ballot {
    return this.state.promised;
  }

  get accepted(): schema.Accepted | null {
    return this.state.accepted;
  }

  /** Writes the newest state; several replies may wait for one sync. */
  private async sync(): Promise<boolean> {
    const pending = this.pending;
    if (pending.length >= MOST_PENDING) return false;
    const done = new Promise<boolean>(function enter(resolve) {
      pending.push({ resolve });
    });
    if (!this.writing) void this.run();
    return done;
  }

  private async run(): Promise<void> {
    this.writing = true;
    while (this.pending.length > 0) {
      const batch = this.pending;
      this.pending = [];
      let isKept = true;
      try {
        await this.keep.write(schema.disk.toBuffer(this.state));
      } catch {
        isKept = false;
        log.count("voter.write_failed");
      }
      for (const item of batch) item.resolve(isKept);
    }
    this.writing = false;
  }

  private denied(): schema.Vote {
    return { isGranted: false, disk: this.state.disk, ballot: this.state.promised, accepted: this.state.accepted };
  }

  private isDenied(disk: string, ballot: schema.Ballot): boolean {
    return disk !== this.state.disk || value.compareBallots(ballot, this.state.promised) < 0;
  }

  /** New voters stand alone only after they were chosen together with the former ones; the proposer vouches for it. */
  private isUnproven(ask: schema.Accept): boolean {
    return ask.value.former.length === 0 && ask.value.voterEpoch !== types.FIRST_EPOCH && !ask.isSetChosen;
  }

  /** Null means silence: the disk did not take it, so nothing may be said. */
  async prepare(ask: schema.Prepare): Promise<schema.Vote | null> {
    if (this.isDenied(ask.disk, ask.ballot)) return this.denied();
    this.state = { ...this.state, promised: ask.ballot };
    const reply = { isGranted: true, disk: this.state.disk, ballot: ask.ballot, accepted: this.state.accepted };
    return (await this.sync()) ? reply : null;
  }

  async accept(ask: schema.Accept): Promise<schema.Vote | null> {
    if (this.isDenied(ask.disk, ask.ballot) || this.isUnproven(ask)) return this.denied();
    this.state = { ...this.state, promised: ask.ballot, accepted: { ballot: ask.ballot, value: ask.value } };
    const reply = { isGranted: true, disk: this.state.disk, ballot: ask.ballot, accepted: null };
    return (await this.sync()) ? reply : null;
  }
}
