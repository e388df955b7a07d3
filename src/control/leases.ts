// This control node as owner of its slot of the bounds: fence with the other voters, replies to routers
// (design/shares 2, 4).
import * as calls from "../wire/calls.js";
import * as link from "../wire/link.js";
import * as leaseSchema from "../wire/lease-schema.js";
import * as types from "../wire/types.js";
import type * as dialers from "../feed/dialer.js";
import * as owners from "../shares/owner.js";
import type * as parts from "../shares/parts.js";
import * as tenures from "../shares/tenure.js";
import type * as cores from "./core.js";

export class Lessor {
  private readonly tenure: tenures.Tenure;
  private readonly owner: owners.LeaseOwner;

  constructor(
    private readonly world: types.World,
    life: string,
    bounds: parts.Bounds,
    private readonly core: cores.Core,
    private readonly dial: dialers.Dialer,
  ) {
    this.tenure = new tenures.Tenure(world);
    this.owner = new owners.LeaseOwner(world, life, bounds, this.tenure);
  }

  resettle(bounds: parts.Bounds): void {
    this.owner.resettle(bounds);
  }

  register(handlers: link.Handlers): void {
    const lessor = this;
    handlers.on(calls.lease, function lease(_from, ask) {
      lessor.follow();
      return lessor.owner.reply(ask, lessor.core.acceptedVoterEpoch);
    });
    handlers.on(calls.fence, function fence(_from, ask) {
      lessor.follow();
      return { disk: lessor.core.disk, voterEpoch: lessor.core.acceptedVoterEpoch, knownMs: lessor.tenure.knownMs(ask.voterEpoch) };
    });
  }

  private follow(): void {
    if (this.core.chosen) this.tenure.take(this.core.chosen, this.core.disk);
  }

  /** With each beat: the voters are asked whether they know newer ones. */
  beat(): void {
    this.follow();
    const { tenure, world } = this;
    const { epoch } = tenure;
    if (tenure.slot < 0) return;
    const sentAt = world.now();
    for (const control of this.dial.controls.values())
      void control.link.call(calls.fence, { voterEpoch: epoch }, tenures.FENCE_MS).then(hear);
    function hear(reply: leaseSchema.FenceReply | null): void {
      if (reply) tenure.hear(epoch, sentAt, reply);
    }
  }
}
