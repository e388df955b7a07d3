/**
 * The batch register of a control node (design/batch 3): the same register as the configuration's, with a value, voters
 * and a disk folder of its own, so that batches have its guarantees and don't slow its changes down.
 */
import * as path from "node:path";
import * as calls from "../../wire/calls.js";
import type * as link from "../../wire/link.js";
import type * as schema from "../../wire/schema.js";
import type * as types from "../../wire/types.js";
import type * as controlNode from "../../feed/control-node.js";
import type * as dialer from "../../feed/dialer.js";
import * as registerValue from "../../register/register-value.js";
import * as files from "../../store/files.js";
import * as dataDirLock from "../../store/data-dir-lock.js";
import * as voterManager from "../voters/voter-manager.js";
import type * as registerChannel from "../register-channel.js";
import * as registerReplica from "../register-replica.js";
import * as voterDisk from "../voters/voter-disk.js";

/** The folder of the register's files below data_dir. */
const FOLDER = "batches";
/** The own disk is announced to peers this often, in case a message was lost. */
const ANNOUNCE_INTERVAL_MS = 1000;

/** Which node this is, and how its register begins. */
export interface BatchRegisterOptions {
  /** Of this process. */
  incarnation: string;
  /** Of this node's links. */
  address: string;
  dataDir: string;
  /** Addresses of the first voters, and whether this is the very first start with batches. */
  seeds: string[];
  isBootstrap: boolean;
}

/** Run by the control node's timer. */
export class BatchRegister {
  readonly replica: registerReplica.RegisterReplica;
  private readonly disk: voterDisk.VoterDisk;
  private readonly voterManager: voterManager.VoterManager;
  /** Disks of the peers in this register, by their address. */
  private readonly disksByAddress = new Map<string, string>();
  private announcedAt = -Infinity;

  /** `connectedControls`: this node and the control nodes that have a session here. */
  constructor(
    private readonly clock: types.Clock,
    private readonly options: BatchRegisterOptions,
    private readonly dial: dialer.Dialer,
    private readonly connectedControls: () => schema.NodeInfo[],
  ) {
    const { incarnation, address, seeds, isBootstrap } = options;
    const initialValue = registerValue.initialValue(isBootstrap ? seeds : []);
    this.replica = new registerReplica.RegisterReplica(clock, { incarnation, address, initialValue, channel: this.channel() }, dial);
    const folder = new files.LocalFolder(path.join(options.dataDir, FOLDER));
    const machine = { clock, folder, processes: dataDirLock.systemProcesses };
    this.disk = new voterDisk.VoterDisk(machine, { address, seeds, isBootstrap }, (voter) => this.replica.attachVoter(voter));
    this.voterManager = new voterManager.VoterManager(clock, this.replica, () => this.connectedNodes());
    dial.on("up", (control) => this.announceDisk(control));
    dial.on("down", (control) => this.disksByAddress.delete(control.address));
  }

  private channel(): registerChannel.RegisterChannel {
    return {
      name: "batch register",
      logsEpochs: false,
      prepare: calls.batchPrepare,
      accept: calls.batchAccept,
      chosen: calls.batchChosen,
      requestChosen: calls.batchAsk,
      diskOf: (control) => this.disksByAddress.get(control.address) ?? "",
    };
  }

  /** Registers the handlers of peers' calls of this register. */
  registerHandlers(handlers: link.Handlers): void {
    this.replica.registerHandlers(handlers);
    handlers.on(calls.batchNode, (_from, announced) => {
      this.disksByAddress.set(announced.address, announced.disk);
      return null;
    });
  }

  /** Begins to open the disk. */
  start(): void {
    this.disk.start();
  }

  /** Where the records of batches go, beside the register's own files. */
  recordFolder(): files.LocalFolder {
    return new files.LocalFolder(path.join(this.options.dataDir, FOLDER, "records"));
  }

  private announceDisk(control: controlNode.ControlNode): void {
    control.link.send(calls.batchNode, { address: this.options.address, disk: this.replica.disk });
  }

  /** The nodes in touch with their disks in this register. */
  private connectedNodes(): schema.NodeInfo[] {
    return this.connectedControls().map((node) => {
      const isOwn = node.address === this.options.address;
      return { ...node, disk: isOwn ? this.replica.disk : (this.disksByAddress.get(node.address) ?? "") };
    });
  }

  /** Announces the own disk, learns what peers know, and manages the voters. */
  runPeriodically(): void {
    const now = this.clock.now();
    if (now - this.announcedAt >= ANNOUNCE_INTERVAL_MS) {
      this.announcedAt = now;
      for (const control of this.dial.controls.values()) this.announceDisk(control);
      this.catchUp();
    }
    this.replica.runPeriodically();
    this.voterManager.runPeriodically();
  }

  /** The message of a chosen value may be lost with a link: a peer at random is asked for its newest value. */
  private catchUp(): void {
    const controls = [...this.dial.controls.values()];
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
