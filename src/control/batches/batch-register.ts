/**
 * The batch register of a control node (design/batch 3): the same register as the configuration's, with a value, voters
 * and a disk folder of its own, so that batches have its guarantees and cost its rounds nothing.
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
/** A disk is told again so often, in case a telling was lost. */
const TELL_MS = 1000;

/** Which node this is, and how its register begins. */
export interface BatchRegisterOptions {
  life: string;
  /** Of this node's links. */
  address: string;
  dataDir: string;
  /** Addresses of the first voters, and whether this is the very first start with batches. */
  seeds: string[];
  isBootstrap: boolean;
}

/** Turned by the control node's timer. */
export class BatchRegister {
  readonly replica: registerReplica.RegisterReplica;
  private readonly disk: voterDisk.VoterDisk;
  private readonly voterManager: voterManager.VoterManager;
  /** Disks of the siblings in this register, by their address. */
  private readonly disksByAddress = new Map<string, string>();
  private toldAt = -Infinity;

  /** heldControls: this node and the control nodes whose sessions it holds itself. */
  constructor(
    private readonly clock: types.Clock,
    private readonly options: BatchRegisterOptions,
    private readonly dial: dialer.Dialer,
    private readonly heldControls: () => schema.NodeInfo[],
  ) {
    const { life, address, seeds, isBootstrap } = options;
    const first = registerValue.initialValue(isBootstrap ? seeds : []);
    this.replica = new registerReplica.RegisterReplica(
      clock,
      { incarnation: life, address, initialValue: first, channel: this.channel() },
      dial,
    );
    const folder = new files.LocalFolder(path.join(options.dataDir, FOLDER));
    const machine = { clock, folder, processes: dataDirLock.systemProcesses };
    this.disk = new voterDisk.VoterDisk(machine, { address, seeds, isBootstrap }, this.replica.attachVoter.bind(this.replica));
    this.voterManager = new voterManager.VoterManager(clock, this.replica, this.nodes.bind(this));
    dial.on("up", this.tell.bind(this));
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

  register(handlers: link.Handlers): void {
    this.replica.registerHandlers(handlers);
    handlers.on(calls.batchNode, (_from, told) => {
      this.disksByAddress.set(told.address, told.disk);
      return null;
    });
  }

  start(): void {
    this.disk.start();
  }

  /** Where the records of batches go, beside the register's own files. */
  recordFolder(): files.LocalFolder {
    return new files.LocalFolder(path.join(this.options.dataDir, FOLDER, "records"));
  }

  private tell(control: controlNode.ControlNode): void {
    control.link.send(calls.batchNode, { address: this.options.address, disk: this.replica.disk });
  }

  /** The nodes in touch with their disks in this register. */
  private nodes(): schema.NodeInfo[] {
    return this.heldControls().map((node) => {
      const isOwn = node.address === this.options.address;
      return { ...node, disk: isOwn ? this.replica.disk : (this.disksByAddress.get(node.address) ?? "") };
    });
  }

  turn(): void {
    const now = this.clock.now();
    if (now - this.toldAt >= TELL_MS) {
      this.toldAt = now;
      for (const control of this.dial.controls.values()) this.tell(control);
      this.catchUp();
    }
    this.replica.runPeriodically();
    this.voterManager.runPeriodically();
  }

  /** News of a choice may be lost with a link: one sibling after the other is asked what it knows. */
  private catchUp(): void {
    const controls = [...this.dial.controls.values()];
    if (controls.length === 0) return;
    const control = controls[Math.floor(this.clock.random() * controls.length)];
    const known = this.replica.chosen?.epoch;
    if (known !== undefined) void this.replica.catchUp(control.link, (known + 1) as types.Epoch);
  }

  status(): unknown {
    const { chosen } = this.replica;
    return { disk: this.disk.status(), epoch: chosen?.epoch ?? null, voters: chosen?.voters ?? [], isSettled: this.replica.hasQuorum() };
  }

  /** Hands its vote over while the links still stand. */
  handOver(withinMs: number): Promise<void> {
    return this.voterManager.handOver(withinMs);
  }

  async stop(): Promise<void> {
    this.replica.detachVoter();
    await this.disk.stop();
  }
}
