/**
 * Runs the membership policy of a register: the voters in touch propose the next set and leave the joint set, and a node that
 * shuts down hands its vote over (design 5.5).
 */
import type * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import * as timers from "../../runtime/timers.js";
import * as log from "../../runtime/log.js";
import type * as registerStep from "../../register/register-step.js";
import * as voterPolicy from "./voter-policy.js";

/** No round of a change of voters begins later than this after its start. */
const CHANGE_TIMEOUT_MS = 1500;
/** The next voter in the order of addresses acts this much later, so that they don't outbid each other. */
const RANK_DELAY_MS = 600;
/** Pause after a failed change; at random up to three times as long. */
const RETRY_PAUSE_MS = 200;

/** What the manager uses of a register. */
export interface Register {
  readonly chosen: schema.Value | null;
  readonly disk: string;
  /** Whether a majority of the voters can be reached now. */
  hasQuorum(): boolean;
  /** How many voters in touch come before this one in the order of addresses. */
  voterRank(): number;
  change(step: registerStep.Step, timeoutMs: number): Promise<registerStep.Outcome>;
  /** Whether the learner, which has no vote yet, can join: it stores the newest chosen value and syncs it. */
  transferSnapshot(learner: schema.Voter): Promise<boolean>;
  /** The own disk accepts no vote from now on that it does not have. */
  refuseToJoin(): void;
  /** Has the newest value accepted anew by all voters in touch. */
  repair(timeoutMs: number): Promise<registerStep.Outcome>;
}

/** Manages the voters of one register of a control node; run by the node's timer. */
export class VoterManager {
  private readonly lastSeenAt = new Map<string, number>();
  private readonly joinFailures = new Map<string, number>();
  private readonly startedAt: number;
  /** Since when a change is due; null: none is. */
  private dueSince: number | null = null;
  private dueEpoch = types.NO_EPOCH;
  private isChanging = false;
  private isLeaving = false;

  /** `nodes`: this control node and those in touch. */
  constructor(
    private readonly clock: types.Clock,
    private readonly register: Register,
    private readonly nodes: () => schema.NodeInfo[],
  ) {
    this.startedAt = clock.now();
  }

  /** How long the voter was not in touch; before it ever was, the time since the start. */
  private readonly silentMsOf: voterPolicy.SilentMsOf = (voter) => {
    return this.clock.now() - (this.lastSeenAt.get(voter.disk) ?? this.startedAt);
  };

  private readonly failuresOf: voterPolicy.JoinFailuresOf = (disk) => {
    return this.joinFailures.get(disk) ?? 0;
  };

  private reachableDisks(): voterPolicy.ReachableDisk[] {
    const now = this.clock.now();
    const reachable: voterPolicy.ReachableDisk[] = [];
    for (const { disk, name, address, isCounted, isReady } of this.nodes()) {
      this.lastSeenAt.set(disk, now);
      reachable.push({ disk, node: name, address, isCounted, isReady });
    }
    return reachable;
  }

  /** Begins the next change of voters, if one is due and it is this node's turn. */
  runPeriodically(): void {
    const reachable = this.reachableDisks();
    const value = this.register.chosen;
    if (!value || this.isChanging || this.isLeaving || !this.register.hasQuorum() || !this.isVoter(value)) return;
    const isJoint = value.former.length > 0;
    const voters = isJoint ? null : voterPolicy.nextVoters(value, reachable, this.silentMsOf, this.failuresOf);
    if (!voters && !isJoint) {
      this.dueSince = null;
      return;
    }
    if (!this.isOwnTurn(value)) return;
    this.isChanging = true;
    log.count("voters.change");
    void this.run(value, voters);
  }

  /** The first voter in order acts at once, each next one if the register hasn't moved on meanwhile. */
  private isOwnTurn(value: schema.Value): boolean {
    const now = this.clock.now();
    if (this.dueSince === null || this.dueEpoch !== value.epoch) this.dueSince = now;
    this.dueEpoch = value.epoch;
    return now - this.dueSince >= this.register.voterRank() * RANK_DELAY_MS;
  }

  private isVoter(value: schema.Value): boolean {
    return value.voters.some((voter) => voter.disk === this.register.disk);
  }

  /** One change of voters to its end; the next may follow at once if it succeeded. */
  private async run(value: schema.Value, voters: schema.Voter[] | null): Promise<void> {
    const isDone = await this.change(value, voters);
    if (!isDone) await timers.sleep(this.clock, RETRY_PAUSE_MS * (1 + 2 * this.clock.random()));
    this.isChanging = false;
    this.dueSince = null;
  }

  /** Has the joint set of old and new voters chosen, then leaves it. Null: only leaves the joint set that is in force. */
  private async change(value: schema.Value, voters: schema.Voter[] | null): Promise<boolean> {
    if (voters) {
      const proposed = await this.prepareLearners(value, voters);
      if (!proposed) return false;
      const outcome = await this.register.change(voterPolicy.enterJointStep(value, proposed), CHANGE_TIMEOUT_MS);
      if (outcome.isErr) return false;
    }
    const joint = this.register.chosen;
    if (!joint || joint.former.length === 0) return true;
    return (await this.register.change(voterPolicy.leaveJointStep(joint), CHANGE_TIMEOUT_MS)).isOk;
  }

  /**
   * The voters to propose, each of whose learners stores the value. Where some learners failed, the policy is asked once
   * more without them, so that a hung disk costs those beside it no pause; null where nobody is left to propose.
   */
  private async prepareLearners(value: schema.Value, voters: schema.Voter[]): Promise<schema.Voter[] | null> {
    const upToDate = new Set(value.voters.map((voter) => voter.disk));
    if (await this.transferSnapshots(voters, upToDate)) return voters;
    if (this.isLeaving) return null;
    const others = voterPolicy.nextVoters(value, this.reachableDisks(), this.silentMsOf, this.failuresOf);
    return others && (await this.transferSnapshots(others, upToDate)) ? others : null;
  }

  /**
   * Learners first: nobody is proposed before its synced disk holds the chosen value. Learners that store it are added to
   * `upToDate`, whose disks are passed over; those that fail come last from then on.
   */
  private async transferSnapshots(voters: schema.Voter[], upToDate: Set<string>): Promise<boolean> {
    const learners = voters.filter((voter) => !upToDate.has(voter.disk));
    const areStored = await Promise.all(learners.map((learner) => this.register.transferSnapshot(learner)));
    for (const [index, { disk }] of learners.entries()) {
      if (areStored[index]) {
        upToDate.add(disk);
        this.joinFailures.delete(disk);
      } else this.joinFailures.set(disk, this.failuresOf(disk) + 1);
    }
    return areStored.every(Boolean);
  }

  /**
   * Before this node shuts down: its vote goes to a spare, if one is in touch; else the voters in touch accept the newest
   * value anew, so that this disk isn't the last to hold it. Ends after `timeoutMs` at the latest, done or not.
   */
  async handOver(timeoutMs: number): Promise<void> {
    this.isLeaving = true;
    this.register.refuseToJoin();
    const value = this.register.chosen;
    if (!value || !this.register.hasQuorum() || !this.isVoter(value)) return;
    const voters = this.votersAfterHandOver(value);
    const isDone = await timers.endsWithin(this.clock, timeoutMs, this.handOverTo(value, voters, timeoutMs));
    log.count(isDone ? "voters.handed_over" : "voters.hand_over_late");
  }

  /** Null while the voters are changing, and where there is no spare. */
  private votersAfterHandOver(value: schema.Value): schema.Voter[] | null {
    if (value.former.length > 0) return null;
    return voterPolicy.votersAfterHandOver(value, this.reachableDisks(), this.failuresOf, this.register.disk);
  }

  /** A spare that shuts down as well refuses: then the value is repaired as without a spare. */
  private async handOverTo(value: schema.Value, voters: schema.Voter[] | null, timeoutMs: number): Promise<void> {
    const deadline = this.clock.now() + timeoutMs;
    if (voters && (await this.change(value, voters))) return;
    await this.register.repair(deadline - this.clock.now());
  }
}
