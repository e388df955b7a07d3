// Random losses, wipes, cuts, freezes and restarts while voters change by the real policy: no acknowledged change is
// lost, none is confirmed beside another on one base, and the core decides again once the faults end.
import * as result from "true-myth/result";
import * as errors from "../../src/runtime/errors.js";
import type * as registerStep from "../../src/register/register-step.js";
import * as orderHistory from "../../src/register/order-history.js";
import * as registerValue from "../../src/register/register-value.js";
import * as schema from "../../src/wire/schema.js";
import * as simRegister from "../sim/sim-register.js";
import * as voterFleet from "../sim/voter-fleet.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const ADDRESSES = ["a:1", "b:1", "c:1"];
const SEEDS = 30;
const FAULTS = 12;

interface Acknowledged {
  base: number;
  mark: string;
}

function setTo(base: number, orderId: string): registerStep.Step {
  return function step(value): result.Result<schema.Value, errors.CranewindError> {
    if (orderHistory.lookUp(value.taken, value.revision, base, orderId) === "taken") return result.ok(value);
    if (value.revision !== base) return result.err(new errors.RevisionConflictError("another revision", "read again"));
    return result.ok(registerValue.withConfig(value, base + 1, Buffer.from(orderId), orderId));
  };
}

class Play {
  private readonly clock: simulatedClock.SimulatedClock;
  private readonly fleet: voterFleet.Fleet;
  private readonly acknowledged: Acknowledged[] = [];
  private lost: voterFleet.Member | null = null;
  private isOver = false;
  /** No new changes while the core comes back to full strength. */
  private isPaused = false;
  private marks = 0;

  constructor(seed: number) {
    this.clock = new simulatedClock.SimulatedClock(seed * 7919);
    this.fleet = new voterFleet.Fleet(new simRegister.SimRegister(this.clock, ADDRESSES));
    for (let spare = 0; spare < seed % 3; spare += 1) this.fleet.join(`${"de"[spare]}:1`);
    this.fleet.made.lossShare = [0.02, 0.1, 0.3][seed % 3];
  }

  /** What is wrong, or null. */
  async run(): Promise<string | null> {
    for (let operator = 0; operator < 2; operator += 1) void this.operate();
    for (let count = 0; count < FAULTS; count += 1) {
      await this.clock.play(200 + this.clock.random() * 3000);
      this.fault();
      await this.clock.play(this.clock.random() * 4000);
      this.mend();
      if (!(await this.isWhole(60_000))) return `fault ${count}: not in full strength again`;
    }
    this.isOver = true;
    this.fleet.made.lossShare = 0;
    await this.clock.play(5000);
    return this.verdict();
  }

  private pick(): voterFleet.Member {
    return this.fleet.members[Math.floor(this.clock.random() * this.fleet.members.length)];
  }

  private async operate(): Promise<void> {
    while (!this.isOver) {
      await this.fleet.made.wait(this.clock.random() * 400);
      if (this.isPaused) continue;
      const base = this.fleet.newest().revision;
      const mark = `m${(this.marks += 1)}`;
      const outcome = await this.pick().change(setTo(base, mark), 2500);
      if (outcome.isOk) this.acknowledged.push({ base, mark });
    }
  }

  /** One machine at a time is in trouble. */
  private fault(): void {
    const member = (this.lost = this.pick());
    const kind = Math.floor(this.clock.random() * 5);
    if (kind === 0) this.fleet.wipe(member);
    else if (kind === 1) this.fleet.restart(member);
    else if (kind === 2) member.node.isFrozen = true;
    else if (kind === 3) member.node.isDiskHung = true;
    else for (const other of this.fleet.members) this.fleet.made.cuts.add(`${member.node.address}>${other.node.address}`);
  }

  private mend(): void {
    this.fleet.made.cuts.clear();
    if (this.lost) this.lost.node.isFrozen = this.lost.node.isDiskHung = false;
  }

  private async isWhole(withinMs: number): Promise<boolean> {
    this.isPaused = true;
    let isWhole = false;
    for (let spent = 0; spent < withinMs && !isWhole; spent += 50) {
      await this.clock.play(50);
      isWhole = [3, 5].some((voters) => this.fleet.isStrong(voters));
    }
    this.isPaused = false;
    return isWhole;
  }

  private verdict(): string | null {
    const bases = new Set<number>();
    const newest = this.fleet.newest();
    for (const { base, mark } of this.acknowledged) {
      if (bases.has(base)) return `two changes confirmed on base ${base}`;
      bases.add(base);
      const found = orderHistory.lookUp(newest.taken, newest.revision, base, mark);
      if (found === "not_taken") return `confirmed change ${mark} is gone`;
    }
    return this.acknowledged.length > 0 ? null : "nothing was confirmed";
  }
}

test("changes of voters under random faults, one machine at a time", async () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) expect([seed, await new Play(seed).run()]).toEqual([seed, null]);
});
