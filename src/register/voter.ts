// One voter: promises and accepts, synced to disk before each reply (design 5.2).
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as value from "./value.js";
import * as log from "../runtime/log.js";

/** Where the voter keeps its record; the ring in use, a simulated disk in tests. */
export interface Keep {
  write(body: Buffer): Promise<void>;
}

const MAX_PENDING = 64;

interface Waiter {
  resolve(isKept: boolean): void;
}
interface Writing {
  readonly state: schema.Disk;
  readonly waiters: Waiter[];
}

/** The voter of one disk. */
export class Voter {
  /** The state that is being written, and who waits for it; null between writes. */
  private writing: Writing | null = null;
  private pending: Waiter[] = [];
  /** The state that was last written whole; null before the first write of this process. */
  private kept: schema.Disk | null = null;
  private isLeaving = false;

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

  /**
   * Resolves once the newest state is on the disk; several replies may wait for one sync. What was asked for again
   * changes no state, and waits for the write that holds it, or for none.
   */
  private sync(): Promise<boolean> {
    if (this.kept === this.state) return Promise.resolve(true);
    const waiters = this.writing?.state === this.state ? this.writing.waiters : this.pending;
    if (waiters.length >= MAX_PENDING) return Promise.resolve(false);
    const done = new Promise<boolean>(function enter(resolve) {
      waiters.push({ resolve });
    });
    if (!this.writing) void this.run();
    return done;
  }

  private async run(): Promise<void> {
    while (this.pending.length > 0) {
      const { state } = this;
      const waiters = this.pending;
      this.pending = [];
      this.writing = { state, waiters };
      const isKept = await this.write(state);
      if (isKept) this.kept = state;
      for (const waiter of waiters) waiter.resolve(isKept);
    }
    this.writing = null;
  }

  private async write(state: schema.Disk): Promise<boolean> {
    try {
      await this.keep.write(schema.disk.toBuffer(state));
      return true;
    } catch {
      log.count("voter.write_failed");
      return false;
    }
  }

  /** From now on this disk takes no vote that it does not have: its process leaves. */
  refuseToJoin(): void {
    this.isLeaving = true;
  }

  /** Joiners accept first: without this one's consent it is in no set that a former voter holds. */
  private isRefusingToJoin(): boolean {
    const { accepted, disk } = this.state;
    return this.isLeaving && !(accepted && value.allVoters(accepted.value).has(disk));
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

  private hasPromised(ballot: schema.Ballot): boolean {
    return value.compareBallots(ballot, this.state.promised) === 0;
  }

  /** A ballot belongs to one value: its proposer sends no other with it. Learners are taught at the lowest ballot of all, each time anew. */
  private hasAccepted(ballot: schema.Ballot): boolean {
    const { accepted } = this.state;
    if (!accepted || value.compareBallots(ballot, value.NO_BALLOT) === 0) return false;
    return this.hasPromised(ballot) && value.compareBallots(ballot, accepted.ballot) === 0;
  }

  /** Null means silence: the disk did not take it, so nothing may be said. */
  async prepare(ask: schema.Prepare): Promise<schema.Vote | null> {
    if (this.isDenied(ask.disk, ask.ballot)) return this.denied();
    if (!this.hasPromised(ask.ballot)) this.state = { ...this.state, promised: ask.ballot };
    const reply = { isGranted: true, disk: this.state.disk, ballot: ask.ballot, accepted: this.state.accepted };
    return (await this.sync()) ? reply : null;
  }

  async accept(ask: schema.Accept): Promise<schema.Vote | null> {
    if (this.isDenied(ask.disk, ask.ballot) || this.isUnproven(ask) || this.isRefusingToJoin()) return this.denied();
    if (!this.hasAccepted(ask.ballot))
      this.state = { ...this.state, promised: ask.ballot, accepted: { ballot: ask.ballot, value: ask.value } };
    const reply = { isGranted: true, disk: this.state.disk, ballot: ask.ballot, accepted: null };
    return (await this.sync()) ? reply : null;
  }
}
