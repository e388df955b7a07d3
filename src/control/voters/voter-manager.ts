// Runs the membership policy: the voters in touch propose the next set, settle it, and hand over on leaving (design 5.5).
import * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import * as timers from "../../runtime/timers.js";
import * as log from "../../runtime/log.js";
import * as voterPolicy from "./voter-policy.js";
import type * as registerStep from "../../register/register-step.js";

/** No round of a change of voters begins later than this after its start. */
const CHANGE_MS = 1500;
/** The next voter in the order of addresses acts this much later, so that they don't outbid each other. */
const RANK_MS = 600;
const PAUSE_MS = 200;

/** What the voterManager uses of a control node's core. */
export interface Register {
  readonly chosen: schema.Value | null;
  readonly disk: string;
  hasQuorum(): boolean;
  /** How many voters in touch come before this one in the order of addresses. */
  voterRank(): number;
  change(step: registerStep.Step, withinMs: number): Promise<registerStep.Outcome>;
  /** Whether the disk, which has no vote yet, can join: it stores the newest chosen value and syncs it. */
  transferSnapshot(joiner: schema.Voter): Promise<boolean>;
  /** The own disk takes no vote from now on that it does not have. */
  refuseToJoin(): void;
  /** Has the newest value accepted anew by all voters in touch. */
  repair(withinMs: number): Promise<registerStep.Outcome>;
}

/** One for each register of a control node; turned by its timer. */
export class VoterManager {
  private readonly heardAt = new Map<string, number>();
  private readonly failed = new Map<string, number>();
  private readonly startedAt: number;
  private readonly silentMs: voterPolicy.SilentMs;
  private readonly failures: voterPolicy.Failures;
  private dueSince: number | null = null;
  private dueEpoch = types.NO_EPOCH;
  private isChanging = false;
  private isLeaving = false;

  constructor(
    private readonly world: types.Clock,
    private readonly core: Register,
    private readonly nodes: () => schema.NodeInfo[],
  ) {
    this.startedAt = world.now();
    const { heardAt, failed, startedAt } = this;
    this.silentMs = function silentMs(voter) {
      return world.now() - (heardAt.get(voter.disk) ?? startedAt);
    };
    this.failures = function failures(disk) {
      return failed.get(disk) ?? 0;
    };
  }

  private alive(): voterPolicy.Alive[] {
    const now = this.world.now();
    const alive: voterPolicy.Alive[] = [];
    for (const node of this.nodes()) {
      this.heardAt.set(node.disk, now);
      const { disk, name, address, isCounted, isReady } = node;
      alive.push({ disk, node: name, address, isCounted, isReady });
    }
    return alive;
  }

  runPeriodically(): void {
    const alive = this.alive();
    const value = this.core.chosen;
    if (!value || this.isChanging || this.isLeaving || !this.core.hasQuorum() || !this.isVoter(value)) return;
    const isJoint = value.former.length > 0;
    const voters = isJoint ? null : voterPolicy.nextVoters(value, alive, this.silentMs, this.failures);
    if (!voters && !isJoint) {
      this.dueSince = null;
      return;
    }
    if (!this.isDue(value)) return;
    this.isChanging = true;
    log.count("voters.change");
    void this.run(value, voters);
  }

  /** The first in order acts at once, each next one if the register hasn't moved on meanwhile. */
  private isDue(value: schema.Value): boolean {
    const now = this.world.now();
    if (this.dueSince === null || this.dueEpoch !== value.epoch) this.dueSince = now;
    this.dueEpoch = value.epoch;
    return now - this.dueSince >= this.core.voterRank() * RANK_MS;
  }

  private isVoter(value: schema.Value): boolean {
    return value.voters.some((voter) => voter.disk === this.core.disk);
  }

  /** One change of voters to its end; the next may follow at once if it worked. */
  private async run(value: schema.Value, voters: schema.Voter[] | null): Promise<void> {
    const isDone = await this.change(value, voters);
    if (!isDone) await timers.sleep(this.world, PAUSE_MS * (1 + 2 * this.world.random()));
    this.isChanging = false;
    this.dueSince = null;
  }

  /** Has the voters chosen together with the former ones, then settles them. Null: settles what stands. */
  private async change(value: schema.Value, voters: schema.Voter[] | null): Promise<boolean> {
    if (voters) {
      const taught = await this.teachAny(value, voters);
      if (!taught) return false;
      const outcome = await this.core.change(voterPolicy.voterStep(value, taught), CHANGE_MS);
      if (outcome.isErr) return false;
    }
    const joint = this.core.chosen;
    if (!joint || joint.former.length === 0) return true;
    return (await this.core.change(voterPolicy.settleStep(joint), CHANGE_MS)).isOk;
  }

  /**
   * The voters to propose, each of whose joiners learned the value. Where some joiners failed, the policy is asked once
   * more without them, so that a hung disk costs those beside it no pause; null where nobody is left to propose.
   */
  private async teachAny(value: schema.Value, voters: schema.Voter[]): Promise<schema.Voter[] | null> {
    const holders = new Set(value.voters.map(diskOf));
    if (await this.teach(voters, holders)) return voters;
    if (this.isLeaving) return null;
    const others = voterPolicy.nextVoters(value, this.alive(), this.silentMs, this.failures);
    return others && (await this.teach(others, holders)) ? others : null;
  }

  /**
   * Learners first: nobody is proposed before its synced disk holds the chosen value. Those that learn it are added to
   * `holders`, whose disks are not asked; those that fail come last from then on.
   */
  private async teach(voters: schema.Voter[], holders: Set<string>): Promise<boolean> {
    const joiners = voters.filter((voter) => !holders.has(voter.disk));
    const taught = await Promise.all(joiners.map((joiner) => this.core.transferSnapshot(joiner)));
    for (const [index, { disk }] of joiners.entries()) {
      if (taught[index]) this.hasLearned(disk, holders);
      else this.failed.set(disk, this.failures(disk) + 1);
    }
    return taught.every(Boolean);
  }

  private hasLearned(disk: string, holders: Set<string>): void {
    holders.add(disk);
    this.failed.delete(disk);
  }

  /**
   * Before this node leaves: its vote goes to a spare, if one is in touch; else the voters in touch accept the newest
   * value anew, so that this disk isn't the last to hold it. Ends after withinMs at the latest, done or not.
   */
  async handOver(withinMs: number): Promise<void> {
    this.isLeaving = true;
    this.core.refuseToJoin();
    const value = this.core.chosen;
    if (!value || !this.core.hasQuorum() || !this.isVoter(value)) return;
    const voters = value.former.length > 0 ? null : voterPolicy.handedOver(value, this.alive(), this.failures, this.core.disk);
    const work = this.handOverTo(value, voters, withinMs);
    const isDone = await timers.endsWithin(this.world, withinMs, work);
    log.count(isDone ? "voters.handed_over" : "voters.hand_over_late");
  }

  /** A spare that leaves as well refuses: then the value is spread as without a spare. */
  private async handOverTo(value: schema.Value, voters: schema.Voter[] | null, withinMs: number): Promise<void> {
    const until = this.world.now() + withinMs;
    if (voters && (await this.change(value, voters))) return;
    await this.core.repair(until - this.world.now());
  }
}

function diskOf(voter: schema.Voter): string {
  return voter.disk;
}
