/**
 * Keeps the platform's endpoint list at this control node: the node that ranks first polls the platform and sends the
 * changes to its peers; the next in rank takes over when the updates stop (design 4.4).
 */
import * as calls from "../../wire/calls.js";
import * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import * as log from "../../runtime/log.js";
import type * as controlNode from "../../feed/control-node.js";
import type * as dialer from "../../feed/dialer.js";
import * as keyedItems from "../../feed/keyed-items.js";
import * as endpointList from "./endpoint-list.js";
import * as platformClient from "./platform-client.js";
import * as withheldVersions from "./withheld-versions.js";

const POLL_INTERVAL_MS = 700;
/** A node of rank N takes over N times this after an update was due. */
const TAKEOVER_DELAY_MS = 700;
const PEER_CALL_TIMEOUT_MS = 900;
/** A node that has not learned of roll-outs by then reads the list all the same. */
const MAX_UNKNOWN_MS = 3000;

/** Polls the platform while this node ranks first, and applies the updates of its peers otherwise. */
export class EndpointWatcher {
  private readonly endpoints = new endpointList.EndpointList();
  private readonly platform: platformClient.PlatformClient;
  private receivedAt = -1e9;
  private isPolling = false;
  private nextPollAt = 0;
  private readonly startedAt: types.SteadyMs;
  /** Whether a list was received, from the platform or a peer. */
  hasList = false;

  /**
   * @param address of the platform's API; empty where there is none
   * @param ratePerS calls a second to the platform that all control nodes may make together
   * @param rank this node's rank among those that may poll; 0 polls
   * @param onChange called after each change of the list, and after the first list
   * @param withheld versions by service whose runners are left out; null: not known yet
   */
  constructor(
    private readonly clock: types.Clock,
    address: string,
    ratePerS: number,
    private readonly dial: dialer.Dialer,
    private readonly rank: () => number,
    private readonly onChange: (plan: keyedItems.ChangePlan) => void,
    private readonly withheld: () => ReadonlyMap<string, string> | null = () => new Map(),
  ) {
    this.startedAt = clock.now();
    this.platform = new platformClient.PlatformClient(clock, address, ratePerS);
  }

  /** All instances of the list now. */
  instances(): schema.Instance[] {
    return this.endpoints.instances();
  }

  /** Called by the control node's timer: starts a poll when one is due here. */
  pollWhenDue(): void {
    const now = this.clock.now();
    if (!this.platform.hasAddress || this.isPolling || now < this.nextPollAt) return;
    const rank = this.rank();
    if (rank > 0 && now - this.receivedAt < POLL_INTERVAL_MS + TAKEOVER_DELAY_MS * rank) return;
    this.isPolling = true;
    void this.poll();
  }

  /** Applies a peer's update. The reply names the list held now: on a difference, the peer sends a snapshot. */
  receiveUpdate(change: schema.Change): schema.ListPosition {
    this.receivedAt = this.clock.now();
    if (change.digest !== this.endpoints.digest || !this.hasList) {
      const plan = this.endpoints.applyUpdate(change, this.clock.now());
      if (plan) this.notifyChange(plan);
    }
    return { digest: this.endpoints.digest };
  }

  private async poll(): Promise<void> {
    const startedAt = this.clock.now();
    const listed = await this.platform.readInstances();
    this.isPolling = false;
    this.nextPollAt = startedAt + POLL_INTERVAL_MS;
    log.count(listed ? "platform.read" : "platform.failed");
    if (!listed) return;
    const withheld = this.withheldNow();
    if (!withheld) return;
    const instances = withheldVersions.selectRunners(listed, withheld);
    this.receivedAt = this.clock.now();
    const base = this.endpoints.digest;
    const plan = this.endpoints.replaceAll(instances, this.clock.now());
    this.notifyChange(plan);
    const change = this.makeChange(base, false, keyedItems.packChanges(keyedItems.changesOf(plan)));
    for (const control of this.dial.controls.values()) void this.sendChange(control, change);
  }

  /** Null: a list that was read now might name runners that must get no requests; for a moment after the start it is left to others. */
  private withheldNow(): ReadonlyMap<string, string> | null {
    const isStarting = this.clock.now() - this.startedAt < MAX_UNKNOWN_MS;
    return this.withheld() ?? (isStarting ? null : new Map<string, string>());
  }

  /** Sends also an empty change: it shows the peer that the list is being polled (design/parts 6). */
  private async sendChange(control: controlNode.ControlNode, change: schema.Change): Promise<void> {
    const reply = await control.link.call(calls.instances, change, PEER_CALL_TIMEOUT_MS);
    if (!reply || reply.digest === change.digest) return;
    log.count("list.view");
    this.sendSnapshot(control);
  }

  private sendSnapshot(control: controlNode.ControlNode): void {
    control.link.send(calls.instances, this.makeChange(keyedItems.EMPTY_DIGEST, true, this.endpoints.snapshot()));
  }

  private makeChange(base: types.Digest, isView: boolean, packed: ReturnType<typeof keyedItems.packChanges>): schema.Change {
    return {
      place: "",
      topic: "list",
      number: 0,
      stamp: types.small(this.clock.now()),
      base,
      digest: this.endpoints.digest,
      isView,
      ...packed,
    };
  }

  /** A peer has connected: it is sent the list if this node polls it. */
  sendSnapshotIfReader(control: controlNode.ControlNode): void {
    if (this.hasList && this.rank() === 0) this.sendSnapshot(control);
  }

  /** The platform's address has changed in the settings. */
  setAddress(address: string): void {
    this.platform.setAddress(address);
  }

  /** Closes the connection to the platform. */
  stop(): void {
    this.platform.close();
  }

  private notifyChange(plan: keyedItems.ChangePlan): void {
    const isFirst = !this.hasList;
    this.hasList = true;
    if (isFirst || !keyedItems.isEmpty(plan)) this.onChange(plan);
  }
}
