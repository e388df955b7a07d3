/**
 * The acceptor of one voter: answers prepare and accept requests by its record, which is durable before each reply
 * (design 5.2).
 */
import * as log from "../runtime/log.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as registerValue from "./register-value.js";

/** Storage of the acceptor's record: the ring of files (store/ring.ts), a simulated disk in tests. */
export interface RecordStore {
  /** Resolves once the record is durable; rejects if it may not be. */
  write(body: Buffer): Promise<void>;
}

/** Requests that may wait for one write; more get no reply. */
const MAX_WAITING_REQUESTS = 64;

/** Called once the write has ended, with whether the state is durable. */
type WriteListener = (isDurable: boolean) => void;

interface WriteInProgress {
  readonly state: schema.Disk;
  readonly listeners: WriteListener[];
}

/** The acceptor of one disk. */
export class Acceptor {
  /** The state that is being written, and the requests that wait for it; null between writes. */
  private writing: WriteInProgress | null = null;
  /** Requests that wait for the next write. */
  private pending: WriteListener[] = [];
  /** The state of the last successful write; null before the first one of this process. */
  private durableState: schema.Disk | null = null;
  private isMembershipRejected = false;

  constructor(
    private readonly store: RecordStore,
    private state: schema.Disk,
  ) {}

  /** The state in a stored record. */
  static restore(bytes: Buffer): schema.Disk {
    return schema.disk.fromBuffer(bytes);
  }

  /** Identity of the disk. */
  get disk(): string {
    return this.state.disk;
  }

  /** The highest ballot that was prepared or accepted; lower ones are rejected. */
  get preparedBallot(): schema.Ballot {
    return this.state.promised;
  }

  /** The newest accepted value, chosen or not, with its ballot. */
  get accepted(): schema.Accepted | null {
    return this.state.accepted;
  }

  /**
   * Resolves once the newest state is durable; several replies may wait for one write. A repeated request changes no
   * state: it waits for the write in progress that contains it, or for none.
   */
  private sync(): Promise<boolean> {
    if (this.durableState === this.state) return Promise.resolve(true);
    const listeners = this.writing?.state === this.state ? this.writing.listeners : this.pending;
    if (listeners.length >= MAX_WAITING_REQUESTS) return Promise.resolve(false);
    const done = new Promise<boolean>((resolve) => listeners.push(resolve));
    if (!this.writing) void this.writePending();
    return done;
  }

  private async writePending(): Promise<void> {
    while (this.pending.length > 0) {
      const { state } = this;
      const listeners = this.pending;
      this.pending = [];
      this.writing = { state, listeners };
      const isDurable = await this.write(state);
      if (isDurable) this.durableState = state;
      for (const listener of listeners) listener(isDurable);
    }
    this.writing = null;
  }

  private async write(state: schema.Disk): Promise<boolean> {
    try {
      await this.store.write(schema.disk.toBuffer(state));
      return true;
    } catch {
      log.count("voter.write_failed");
      return false;
    }
  }

  /** From now on this disk rejects being added to the voters: its process shuts down. */
  rejectMembership(): void {
    this.isMembershipRejected = true;
  }

  /** Voters to be added accept first: without this one's accept no former voter accepts a set that contains it. */
  private isRejectingMembership(): boolean {
    const { accepted, disk } = this.state;
    return this.isMembershipRejected && !(accepted && registerValue.allVoters(accepted.value).has(disk));
  }

  private rejection(): schema.Vote {
    return { isGranted: false, disk: this.state.disk, ballot: this.state.promised, accepted: this.state.accepted };
  }

  private isRejected(disk: string, ballot: schema.Ballot): boolean {
    return disk !== this.state.disk || registerValue.compareBallots(ballot, this.state.promised) < 0;
  }

  /** A new set of voters without the former one follows only after both were chosen together; the proposer states that it knows so. */
  private isSetUnproven(request: schema.Accept): boolean {
    return request.value.former.length === 0 && request.value.voterEpoch !== types.FIRST_EPOCH && !request.isSetChosen;
  }

  private isPrepared(ballot: schema.Ballot): boolean {
    return registerValue.compareBallots(ballot, this.state.promised) === 0;
  }

  /** A ballot belongs to one value: its proposer sends no other with it. Snapshots for learners are the exception, all at NO_BALLOT. */
  private hasAccepted(ballot: schema.Ballot): boolean {
    const { accepted } = this.state;
    if (!accepted || registerValue.compareBallots(ballot, registerValue.NO_BALLOT) === 0) return false;
    return this.isPrepared(ballot) && registerValue.compareBallots(ballot, accepted.ballot) === 0;
  }

  /** Phase 1. Null: the state could not be made durable, so no reply may be sent. */
  async prepare(request: schema.Prepare): Promise<schema.Vote | null> {
    if (this.isRejected(request.disk, request.ballot)) return this.rejection();
    if (!this.isPrepared(request.ballot)) this.state = { ...this.state, promised: request.ballot };
    const reply = { isGranted: true, disk: this.state.disk, ballot: request.ballot, accepted: this.state.accepted };
    return (await this.sync()) ? reply : null;
  }

  /** Phase 2. Null as for `prepare`. */
  async accept(request: schema.Accept): Promise<schema.Vote | null> {
    if (this.isRejected(request.disk, request.ballot) || this.isSetUnproven(request) || this.isRejectingMembership())
      return this.rejection();
    if (!this.hasAccepted(request.ballot))
      this.state = { ...this.state, promised: request.ballot, accepted: { ballot: request.ballot, value: request.value } };
    const reply = { isGranted: true, disk: this.state.disk, ballot: request.ballot, accepted: null };
    return (await this.sync()) ? reply : null;
  }
}
