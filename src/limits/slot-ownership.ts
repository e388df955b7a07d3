/**
 * Whether this process owns a slot of the system-wide limits now: by the register's voters, fenced by a majority of them
 * (design/shares 2). A partitioned owner stops granting before any other process may own its slot.
 */
import * as quorumConfirmation from "../register/quorum-confirmation.js";
import * as leaseSchema from "../wire/lease-schema.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";

/** A voter's reply that it knows no newer voters is valid for this long from when it was requested. */
export const FENCE_VALID_MS = quorumConfirmation.MAX_ANSWER_AGE_MS;
/** The longest duration of a lease, and what steady clocks may drift apart over it. */
export const MAX_LEASE_MS = 1800;
const CLOCK_DRIFT_MS = 200;

/** How long fence replies and leases of one kind of limit are valid, in milliseconds. */
export interface OwnershipTerms {
  /** A voter's reply that it knows no newer voters, from when it was requested. */
  fenceMs: number;
  /** The longest lease. */
  maxLeaseMs: number;
}

const LEASES: OwnershipTerms = { fenceMs: FENCE_VALID_MS, maxLeaseMs: MAX_LEASE_MS };

/** A slot and the number of slots: one a voter. */
export interface SlotPosition {
  slot: number;
  slots: number;
}

interface Epoch extends SlotPosition {
  epoch: types.Epoch;
  voters: ReadonlySet<string>;
  knownAt: number;
}

/** Fences one slot: isGranting() holds only while a majority of the voters knows no newer set of voters. */
export class SlotOwnership {
  private current: Epoch | null = null;
  /** The disk whose slot this is; "" until it is known. */
  protected disk = "";
  private readonly acks = new Map<string, number>();
  private readonly startedAt: number;
  /** From then on this process may grant and earn. */
  openAt = Infinity;
  /** Increases whenever earlier grants no longer count. */
  round = 0;

  constructor(
    protected readonly clock: types.Clock,
    protected readonly terms = LEASES,
  ) {
    this.startedAt = clock.now();
  }

  get slot(): number {
    return this.current?.slot ?? -1;
  }

  get slots(): number {
    return this.current?.slots ?? 0;
  }

  get epoch(): types.Epoch {
    return this.current?.epoch ?? types.NO_EPOCH;
  }

  /** Opens as soon as the leases of an earlier incarnation of this process have expired. */
  protected openEarly(): void {
    this.openAt = Math.min(this.openAt, this.startedAt + this.maxRemainingLeaseMs());
  }

  /** Leases of an earlier incarnation, or of the slot's former owner, have expired after this long. */
  protected maxRemainingLeaseMs(): number {
    return this.terms.maxLeaseMs + CLOCK_DRIFT_MS;
  }

  /** Applies a chosen value and the own disk; all changes of ownership pass here. */
  applyValue(value: schema.Value, disk: string): void {
    const before = this.current;
    if (before && (value.voterEpoch < before.epoch || (value.voterEpoch === before.epoch && disk === this.disk))) return;
    const now = this.clock.now();
    const disks = value.voters.map(diskOf);
    const slot = disk === "" ? -1 : disks.indexOf(disk);
    const isNext = before !== null && disk === this.disk && value.voterEpoch === before.epoch + 1;
    const isKept = isNext && this.keepsSlot(before, { slot, slots: disks.length });
    const isSame = before !== null && value.voterEpoch === before.epoch;
    this.current = { epoch: value.voterEpoch, voters: new Set(disks), slots: disks.length, slot, knownAt: isSame ? before.knownAt : now };
    this.disk = disk;
    // A reply that nothing newer than an earlier epoch was accepted says the same of this epoch.
    for (const voter of this.acks.keys()) if (!this.current.voters.has(voter)) this.acks.delete(voter);
    if (isKept) return;
    this.round += 1;
    this.openAt =
      value.voterEpoch === types.FIRST_EPOCH ? this.startedAt + this.maxRemainingLeaseMs() : this.earliestOpening(this.current.knownAt);
  }

  /** Called at the next epoch: whether this process goes on without a pause, as no other process owns its slot there. */
  protected keepsSlot(before: SlotPosition, next: SlotPosition): boolean {
    return next.slot >= 0 && next.slot === before.slot && next.slots === before.slots;
  }

  private earliestOpening(chosenAt: number): number {
    return Math.max(this.startedAt + this.maxRemainingLeaseMs(), chosenAt + this.terms.fenceMs + this.maxRemainingLeaseMs());
  }

  /** For how long the epoch is known here as chosen; -1: it isn't. */
  knownMs(epoch: types.Epoch): number {
    return this.current && this.current.epoch === epoch ? this.clock.now() - this.current.knownAt : -1;
  }

  /** Records a voter's fence reply; sentAt: when it was requested, on the own clock. */
  recordFenceReply(asked: types.Epoch, sentAt: number, reply: leaseSchema.FenceState): void {
    if (!this.current || reply.voterEpoch > this.current.epoch || !this.current.voters.has(reply.disk)) return;
    this.acks.set(reply.disk, Math.max(sentAt, this.acks.get(reply.disk) ?? -Infinity));
    // Whoever knows it for longer shows that it was chosen earlier; an opening only ever moves nearer.
    const now = this.clock.now();
    if (asked === this.current.epoch && reply.knownMs >= 0 && now < this.openAt)
      this.openAt = Math.min(this.openAt, this.earliestOpening(now - reply.knownMs));
  }

  /**
   * accepted: the newest voter epoch on the own disk. The own disk counts as long as it accepted nothing newer; the others by
   * their recent replies. Any majority that chooses the next epoch shares a disk with these, which accepted it after its reply.
   */
  isGranting(accepted: types.Epoch): boolean {
    const { current: era } = this;
    return era !== null && era.slot >= 0 && this.clock.now() >= this.openAt && this.hasMajority(era.slots, accepted <= era.epoch);
  }

  protected hasMajority(slots: number, isOwnCounted: boolean): boolean {
    const since = this.clock.now() - this.terms.fenceMs;
    let count = isOwnCounted ? 1 : 0;
    for (const [disk, sentAt] of this.acks) if (disk !== this.disk && sentAt > since) count += 1;
    return count > slots / 2;
  }
}

function diskOf(voter: schema.Voter): string {
  return voter.disk;
}
