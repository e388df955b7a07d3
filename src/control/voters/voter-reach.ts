/** Which voters of a register one control node can reach now, by the disks that its links lead to (design 5.5). */
import type * as link from "../../wire/link.js";
import type * as schema from "../../wire/schema.js";
import type * as dialer from "../../feed/dialer.js";
import * as registerValue from "../../register/register-value.js";
import type * as registerChannel from "../register-channel.js";

/** Reads the links of one node as they are at each call. */
export class VoterReach {
  /** `ownDisk`: the disk that votes here; empty when none does. */
  constructor(
    private readonly address: string,
    private readonly channel: registerChannel.RegisterChannel,
    private readonly dial: dialer.Dialer,
    private readonly ownDisk: () => string,
  ) {}

  /** The link to a voter: by its disk, which may have moved to another machine, else by its address. */
  linkTo(voter: schema.Voter): link.Link | null {
    for (const control of this.dial.controls.values()) if (this.channel.diskOf(control) === voter.disk) return control.link;
    return this.dial.controls.get(voter.address)?.link ?? null;
  }

  /** Whether the voter is this node's own disk. */
  isOwn(voter: schema.Voter): boolean {
    return voter.disk === this.ownDisk() || (voter.address === this.address && !this.linkTo(voter));
  }

  /** Whether the voter's very disk is in touch; one that isn't known yet, just after a start, counts by its address. */
  private isInTouch(voter: schema.Voter): boolean {
    const ownDisk = this.ownDisk();
    if (ownDisk !== "" && voter.disk === ownDisk) return true;
    const controls = [...this.dial.controls.values()];
    if (controls.some((control) => this.channel.diskOf(control) === voter.disk)) return true;
    const atItsAddress = this.dial.controls.get(voter.address);
    return atItsAddress !== undefined && this.channel.diskOf(atItsAddress) === "";
  }

  private inTouch(voters: readonly schema.Voter[]): schema.Voter[] {
    return voters.filter((voter) => this.isInTouch(voter));
  }

  /** Whether a majority of the value's voters can be reached now. */
  hasQuorum(value: schema.Value | null): boolean {
    if (!value) return false;
    const disks = this.inTouch(value.voters).map((voter) => voter.disk);
    return registerValue.isQuorum({ ...value, former: [] }, new Set(disks));
  }

  /** How many of the voters in touch may be lost now with the register still deciding; 0 also when it can't. */
  lossesBorne(value: schema.Value | null): number {
    if (!value) return 0;
    const sets = value.former.length > 0 ? [value.voters, value.former] : [value.voters];
    const spares = sets.map((voters) => this.inTouch(voters).length - majorityOf(voters));
    return Math.max(0, Math.min(...spares));
  }

  /**
   * How many voters in touch come before this node in the order of addresses, as the value names them: a disk that
   * moved keeps its rank until the value has its new address, so that no two nodes come first.
   */
  rank(value: schema.Value | null): number {
    if (!value) return 0;
    const address = registerValue.addressOfDisk(value, this.ownDisk(), this.address);
    return this.inTouch(value.voters.filter((voter) => voter.address < address)).length;
  }
}

function majorityOf(voters: readonly schema.Voter[]): number {
  return Math.floor(voters.length / 2) + 1;
}
