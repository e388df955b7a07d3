/** Exchanges memberships between control nodes: deltas to each peer, a snapshot after a gap (design/members 1). */
import * as calls from "../../wire/calls.js";
import type * as link from "../../wire/link.js";
import type * as schema from "../../wire/schema.js";
import type * as types from "../../wire/types.js";
import * as log from "../../runtime/log.js";
import * as peerMembership from "./peer-membership.js";
import * as publishedMembership from "./published-membership.js";

/** A peer is asked for a snapshot no more often than this. */
const SNAPSHOT_REQUEST_INTERVAL_MS = 600;

/** What one peer published. */
interface PeerReport {
  readonly membership: peerMembership.PeerMembership;
  /** When its last update came. */
  receivedAt: number;
  /** When a snapshot of it was requested last. */
  requestedAt: number;
}

/** Publishes the own membership to peers and keeps a replica of theirs. */
export class MembershipExchange {
  private readonly reports = new Map<string, PeerReport>();
  private readonly ownMembership: publishedMembership.PublishedMembership;
  /** The number of the own membership up to which each peer was sent it, by its link. */
  private readonly offsets = new Map<link.Link, number>();
  private controls: schema.ControlInfo[] = [];

  constructor(
    private readonly clock: types.Clock,
    incarnation: string,
  ) {
    this.ownMembership = new publishedMembership.PublishedMembership(incarnation);
  }

  /** Publishes the own membership: to each peer what changed since the last update it was sent. */
  publish(nodes: readonly schema.NodeInfo[], draining: Iterable<string>, peers: Iterable<link.Link>, controls: schema.ControlInfo[]): void {
    this.ownMembership.update(nodes, draining);
    const haveControlsChanged = this.updateControls(controls);
    for (const to of peers) {
      const offset = this.offsets.get(to);
      const update = this.ownMembership.deltaSince(offset ?? -1);
      if (update.isWhole) log.count("members.snapshots");
      log.count("members.entries", update.nodes.length + update.gone.length);
      to.send(calls.rosterUpdate, haveControlsChanged || update.isWhole ? { ...update, controls } : update);
      if (offset === undefined) to.once("end", () => this.forgetOffset(to));
      this.offsets.set(to, this.ownMembership.newestNumber);
    }
  }

  private updateControls(controls: schema.ControlInfo[]): boolean {
    const previous = this.controls;
    this.controls = controls;
    return controls.length !== previous.length || controls.some((control, index) => isDifferent(control, previous[index]));
  }

  /** A peer noticed a gap: the next update to it is a full snapshot. */
  forgetOffset(to: link.Link): void {
    this.offsets.delete(to);
  }

  /** Applies a peer's update; after a gap a snapshot is requested from it. */
  receive(peer: string, from: link.Link, update: schema.RosterUpdate): void {
    const report = this.reports.get(peer) ?? this.newReport();
    const now = this.clock.now();
    report.receivedAt = now;
    this.reports.set(peer, report);
    if (report.membership.applyUpdate(update) || now - report.requestedAt < SNAPSHOT_REQUEST_INTERVAL_MS) return;
    report.requestedAt = now;
    log.count("members.gap");
    from.send(calls.requestRoster, { _: false });
  }

  private newReport(): PeerReport {
    return { membership: new peerMembership.PeerMembership(), receivedAt: 0, requestedAt: -SNAPSHOT_REQUEST_INTERVAL_MS };
  }

  /** The members that peers published; a node may be there more than once. */
  *peerNodes(): Generator<schema.NodeInfo> {
    for (const report of this.reports.values()) yield* report.membership.all();
  }

  /** Forgets peers that published nothing for so long. */
  expire(timeoutMs: number): void {
    const now = this.clock.now();
    for (const [peer, report] of this.reports) if (now - report.receivedAt > timeoutMs) this.reports.delete(peer);
  }
}

function isDifferent(control: schema.ControlInfo, previous: schema.ControlInfo | undefined): boolean {
  return previous?.address !== control.address || previous.name !== control.name;
}
