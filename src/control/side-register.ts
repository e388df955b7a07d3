/**
 * A register of a control node beside the configuration's (design/batch 3, design/duties 2): the same agreement, with a value,
 * voters and a disk folder of its own, so that what it holds has the same guarantees and doesn't slow configurations down.
 */
import * as path from "node:path";
import type * as batchSchema from "../wire/batch-schema.js";
import * as calls from "../wire/calls.js";
import * as features from "../wire/features.js";
import type * as link from "../wire/link.js";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import type * as controlNode from "../feed/control-node.js";
import type * as dialer from "../feed/dialer.js";
import * as registerValue from "../register/register-value.js";
import * as files from "../store/files.js";
import * as dataDirLock from "../store/data-dir-lock.js";
import * as voterManager from "./voters/voter-manager.js";
import type * as registerChannel from "./register-channel.js";
import * as registerReplica from "./register-replica.js";
import * as voterDisk from "./voters/voter-disk.js";

/** The own disk is announced to peers this often, in case a message was lost. */
const ANNOUNCE_INTERVAL_MS = 1000;

/** What tells one register from another: its name, its folder and its calls. */
export interface SideRegisterKind extends Omit<registerChannel.RegisterChannel, "logsEpochs" | "diskOf"> {
  /** Below data_dir. */
  readonly folder: string;
  /** Announces the own disk in this register. */
  readonly announceDisk: calls.Call<batchSchema.BatchNode, { _: boolean }>;
  /** Peers without this feature get none of its messages; null: all peers have them. */
  readonly feature: number | null;
}

/** The register of batches. */
export const BATCHES: SideRegisterKind = {
  name: "batch register",
  folder: "batches",
  prepare: calls.batchPrepare,
  accept: calls.batchAccept,
  chosen: calls.batchChosen,
  requestChosen: calls.batchAsk,
  announceDisk: calls.batchNode,
  feature: null,
};

/** The register of the duties at the platform. */
export const DUTIES: SideRegisterKind = {
  name: "duty register",
  folder: "duties",
  prepare: calls.dutyPrepare,
  accept: calls.dutyAccept,
  chosen: calls.dutyChosen,
  requestChosen: calls.dutyAsk,
  announceDisk: calls.dutyNode,
  feature: features.DUTIES,
};

/** The control node around the register. */
export interface SideRegisterHost {
  /** Of this process. */
  readonly incarnation: string;
  /** Of this node's links. */
  readonly address: string;
  /** Addresses of the first voters. */
  readonly seeds: string[];
  readonly dial: dialer.Dialer;
  /** This node and the control nodes that have a session here. */
  connectedControls(): schema.NodeInfo[];
}

/** Where the register's disk is, and whether this is the very first start of this register. */
export interface SideRegisterStart {
  dataDir: string;
  isBootstrap: boolean;
}

/** Run by the control node's timer. */
export class SideRegister {
  readonly replica: registerReplica.RegisterReplica;
  private readonly disk: voterDisk.VoterDisk;
  private readonly voterManager: voterManager.VoterManager;
  /** Disks of the peers in this register, by their address. */
  private readonly disksByAddress = new Map<string, string>();
  private announcedAt = -Infinity;

  constructor(
    private readonly clock: types.Clock,
    private readonly kind: SideRegisterKind,
    private readonly host: SideRegisterHost,
    { dataDir, isBootstrap }: SideRegisterStart,
  ) {
    const { incarnation, address, seeds, dial } = host;
    const initialValue = registerValue.initialValue(isBootstrap ? seeds : []);
    this.replica = new registerReplica.RegisterReplica(clock, { incarnation, address, initialValue, channel: this.channel() }, dial);
    const folder = new files.LocalFolder(path.join(dataDir, kind.folder));
    const machine = { clock, folder, processes: dataDirLock.systemProcesses };
    this.disk = new voterDisk.VoterDisk(machine, { address, seeds, isBootstrap }, (voter) => this.replica.attachVoter(voter));
    this.voterManager = new voterManager.VoterManager(clock, this.replica, () => this.connectedNodes());
    dial.on("up", (control) => this.announceDisk(control));
    dial.on("down", (control) => this.disksByAddress.delete(control.address));
  }

  private channel(): registerChannel.RegisterChannel {
    return { ...this.kind, logsEpochs: false, diskOf: (control) => this.disksByAddress.get(control.address) ?? "" };
  }

  /** Registers the handlers of peers' calls of this register. */
  registerHandlers(handlers: link.Handlers): void {
    this.replica.registerHandlers(handlers);
    handlers.on(this.kind.announceDisk, (_from, announced) => {
      this.disksByAddress.set(announced.address, announced.disk);
      return null;
    });
  }

  /** Begins to open the disk. */
  start(): void {
    this.disk.start();
  }

  private announceDisk(control: controlNode.ControlNode): void {
    const { kind, host } = this;
    if (this.hasRegister(control)) control.link.send(kind.announceDisk, { address: host.address, disk: this.replica.disk });
  }

  /** Whether the peer takes part: a build from before this register would end the link. */
  private hasRegister(control: controlNode.ControlNode): boolean {
    const { feature } = this.kind;
    return feature === null || (control.heartbeat !== null && features.hasFeature(control.heartbeat, feature));
  }

  /** The nodes in touch with their disks in this register. */
  private connectedNodes(): schema.NodeInfo[] {
    return this.host.connectedControls().map((node) => {
      const isOwn = node.address === this.host.address;
      return { ...node, disk: isOwn ? this.replica.disk : (this.disksByAddress.get(node.address) ?? "") };
    });
  }

  /** Announces the own disk, learns what peers know, and manages the voters. */
  runPeriodically(): void {
    const now = this.clock.now();
    if (now - this.announcedAt >= ANNOUNCE_INTERVAL_MS) {
      this.announcedAt = now;
      for (const control of this.host.dial.controls.values()) this.announceDisk(control);
      this.catchUp();
    }
    this.replica.runPeriodically();
    this.voterManager.runPeriodically();
  }

  /** The message of a chosen value may be lost with a link: a peer at random is asked for its newest value. */
  private catchUp(): void {
    const controls = [...this.host.dial.controls.values()].filter((control) => this.hasRegister(control));
    if (controls.length === 0) return;
    const control = controls[Math.floor(this.clock.random() * controls.length)];
    const known = this.replica.chosen?.epoch;
    if (known !== undefined) void this.replica.catchUp(control.link, (known + 1) as types.Epoch);
  }

  /** For `status`. */
  status(): unknown {
    const { chosen } = this.replica;
    return { disk: this.disk.status(), epoch: chosen?.epoch ?? null, voters: chosen?.voters ?? [], isSettled: this.replica.hasQuorum() };
  }

  /** Hands its vote over while the links are still up. */
  handOver(timeoutMs: number): Promise<void> {
    return this.voterManager.handOver(timeoutMs);
  }

  /** Stops voting and closes the disk. */
  async stop(): Promise<void> {
    this.replica.detachVoter();
    await this.disk.stop();
  }
}
