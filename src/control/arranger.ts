// Keeps the set of voters as it should be: whoever is settled and votes proposes the next one (design 5.5).
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../startup/log.js";
import type * as cores from "./core.js";
import * as policy from "./voters.js";

const POLICY_MS = 1500;

export class Arranger {
  private readonly heardAt = new Map<string, number>();
  private readonly startedAt: number;
  private isChanging = false;

  constructor(
    private readonly world: types.World,
    private readonly core: cores.Core,
    private readonly nodes: () => schema.NodeInfo[],
  ) {
    this.startedAt = world.now();
  }

  private alive(): policy.Alive[] {
    const now = this.world.now();
    const alive: policy.Alive[] = [];
    for (const node of this.nodes()) {
      this.heardAt.set(node.disk, now);
      alive.push({ disk: node.disk, node: node.name, address: node.address, isCounted: node.isCounted });
    }
    return alive;
  }

  turn(): void {
    const value = this.core.chosen;
    const alive = this.alive();
    const now = this.world.now();
    const { heardAt, startedAt } = this;
    if (!value || this.isChanging || !this.core.isSettled()) return;
    if (!value.voters.some(isOwn.bind(null, this.core.disk))) return;
    const wanted = value.former.length > 0 ? null : policy.nextVoters(value, alive, silentMs);
    function silentMs(voter: schema.Voter): number {
      return now - (heardAt.get(voter.disk) ?? startedAt);
    }
    if (!wanted && value.former.length === 0) return;
    this.isChanging = true;
    log.count("voters.change");
    void this.change(wanted ? policy.voterStep(value, wanted) : policy.settleStep(value));
  }

  private async change(step: Parameters<cores.Core["change"]>[0]): Promise<void> {
    await this.core.change(step, POLICY_MS);
    const again = this.allowChange.bind(this);
    this.world.after(200 + 400 * this.world.random(), again);
  }

  private allowChange(): void {
    this.isChanging = false;
  }
}

function isOwn(disk: string, voter: schema.Voter): boolean {
  return voter.disk === disk;
}
