/**
 * The disk of a voter (design 5.3, 5.4; hardening 6): opens it, however many attempts that takes, and reports whether it
 * accepts writes. While it can't be read or written the voter is silent; it never ends the process nor blocks its other work.
 */
import * as crypto from "node:crypto";
import * as log from "../../runtime/log.js";
import * as release1 from "../../register/release-1.js";
import * as registerValue from "../../register/register-value.js";
import * as acceptor from "../../register/acceptor.js";
import * as conversion from "../../store/conversion.js";
import type * as files from "../../store/files.js";
import * as format from "../../store/format.js";
import * as dataDirLock from "../../store/data-dir-lock.js";
import * as storageRemedies from "../../store/storage-remedies.js";
import * as recordRing from "../../store/record-ring.js";
import * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import * as timers from "../../runtime/timers.js";

/** Pause between two attempts at a disk that fails. */
export const RETRY_INTERVAL_MS = 500;
/** An operation that takes longer than this is reported as a disk that hangs. */
export const HANG_AFTER_MS = 2000;
/** How long a process that shuts down waits for a disk that hangs. */
const CLOSE_TIMEOUT_MS = 1000;

/** Random part of a disk's identity. */
const DISK_ID_BYTES = 9;

/** Which node the disk belongs to. */
export interface VoterNode {
  address: string;
  seeds: readonly string[];
  isBootstrap: boolean;
}

/** What the disk needs of its machine; tests pass a simulated one. */
export interface Machine {
  clock: types.Clock;
  folder: files.StoreFolder;
  processes: dataDirLock.ProcessTable;
}

/** `opening`: not read yet; `ready`: the last write succeeded; `refusing`: it failed; `hanging`: the disk does not answer. */
export type DiskState = "opening" | "ready" | "refusing" | "hanging" | "closed";

/** The disk as `status` shows it. */
export interface DiskStatus {
  state: DiskState;
  /** What failed last and its remedy; empty while all is well. */
  error: string;
  /** How long the operation in progress has taken so far, in ms; 0 if there is none. */
  waitingMs: number;
}

/** Identifies the layout of this release's records. */
export function recordLayout(): number {
  return schema.disk.fingerprint("sha256").readUInt32BE(0);
}

function newSetId(): Buffer {
  return crypto.randomBytes(format.SET_ID_BYTES);
}

/** The state of a voter that has no record. Only the very first start knows the first value without asking anybody. */
function blankState(node: VoterNode, isPristine: boolean): schema.Disk {
  const isFirst = isPristine && node.isBootstrap && node.seeds.includes(node.address);
  const disk = isFirst ? registerValue.initialDisk(node.address) : `disk:${crypto.randomBytes(DISK_ID_BYTES).toString("base64url")}`;
  const accepted = isFirst ? { ballot: registerValue.NO_BALLOT, value: registerValue.initialValue(node.seeds) } : null;
  return { disk, promised: registerValue.NO_BALLOT, accepted };
}

function stateOf(opened: recordRing.OpenedRing, node: VoterNode): schema.Disk {
  if (opened.newestBody) return acceptor.Acceptor.restore(opened.newestBody);
  return opened.unconverted ? release1.convert(opened.unconverted) : blankState(node, opened.isPristine);
}

/** The disk of one voter; `start` begins to open it. */
export class VoterDisk implements acceptor.RecordStore {
  private ring: recordRing.RecordRing | null = null;
  private state: Exclude<DiskState, "hanging"> = "opening";
  private isHanging = false;
  private error = "";
  /** When the operation in progress began; null if there is none. */
  private busySince: types.SteadyMs | null = null;
  private retry: types.Timer | null = null;
  /** The newest record to write, with which a failing disk is probed. */
  private newestRecord: Buffer | null = null;
  private pendingProbe: Promise<void> = Promise.resolve();

  constructor(
    private readonly machine: Machine,
    private readonly node: VoterNode,
    private readonly onOpen: (voter: acceptor.Acceptor) => void,
  ) {}

  /** Begins to open the disk and returns at once; `onOpen` gets the voter once it is open. */
  start(): void {
    void this.openOrRetry();
  }

  /** Resolves once the files are closed, or soon after if the disk hangs. */
  async stop(): Promise<void> {
    this.state = "closed";
    this.retry?.stop();
    await timers.endsWithin(this.machine.clock, CLOSE_TIMEOUT_MS, this.closeRing());
  }

  status(): DiskStatus {
    const waitingMs = this.busySince === null ? 0 : this.machine.clock.now() - this.busySince;
    return { state: this.isHanging ? "hanging" : this.state, error: this.error, waitingMs };
  }

  /** Resolves once the record is durable; rejects if it may not be. One call at a time. */
  async write(body: Buffer): Promise<void> {
    this.newestRecord = body;
    await this.pendingProbe;
    await this.writeNow(body);
  }

  private async openOrRetry(): Promise<void> {
    try {
      await this.trackOperation(() => this.open());
    } catch (cause) {
      this.recordRefusal(cause);
      this.scheduleRetry(() => this.openOrRetry());
    }
  }

  private async open(): Promise<void> {
    const { folder, processes } = this.machine;
    await folder.make();
    await dataDirLock.acquire(folder, processes);
    const opened = await recordRing.RecordRing.open(folder, { layout: recordLayout(), newSetId });
    try {
      const state = stateOf(opened, this.node);
      if (!opened.newestBody) await opened.ring.write(schema.disk.toBuffer(state));
      if (opened.unconverted) await conversion.discardCopy(folder);
      else if (!opened.newestBody) log.state(`store: no record on disk, new identity ${state.disk}`);
      this.finishOpening(opened.ring, state);
    } catch (cause) {
      await opened.ring.close();
      throw cause;
    }
  }

  private finishOpening(ring: recordRing.RecordRing, state: schema.Disk): void {
    if (this.state === "closed") {
      void ring.close();
      return;
    }
    this.ring = ring;
    this.recordSuccess();
    this.onOpen(new acceptor.Acceptor(this, state));
  }

  private async writeNow(body: Buffer): Promise<void> {
    const { ring } = this;
    if (!ring) throw new Error("the disk is not open");
    try {
      await this.trackOperation(() => ring.write(body));
      this.recordSuccess();
    } catch (cause) {
      this.recordRefusal(cause);
      this.scheduleRetry(() => this.probe());
      throw cause;
    }
  }

  /** Writes the newest record to a failing disk again, so that `status` shows when it accepts writes. */
  private probe(): void {
    if (this.state !== "refusing" || this.busySince !== null || !this.newestRecord) return;
    this.pendingProbe = this.writeNow(this.newestRecord).catch(() => {
      // `status` has the error already.
    });
  }

  private scheduleRetry(attempt: () => unknown): void {
    this.retry?.stop();
    if (this.state !== "closed") this.retry = this.machine.clock.schedule(RETRY_INTERVAL_MS, attempt);
  }

  private async closeRing(): Promise<void> {
    await this.pendingProbe;
    await this.ring?.close();
  }

  private async trackOperation(operation: () => Promise<void>): Promise<void> {
    this.busySince = this.machine.clock.now();
    const timer = this.machine.clock.schedule(HANG_AFTER_MS, () => this.reportHang());
    try {
      await operation();
    } finally {
      timer.stop();
      this.busySince = null;
      if (this.isHanging) log.state(`disk: data_dir ${this.machine.folder.name} answers again`);
      this.isHanging = false;
    }
  }

  private reportHang(): void {
    this.isHanging = this.state !== "closed";
    log.count("disk.hung");
    log.state(`disk: data_dir ${this.machine.folder.name} has not answered for ${HANG_AFTER_MS} ms; this node does not vote until it does`);
  }

  private recordSuccess(): void {
    if (this.state === "refusing") log.state(`disk: data_dir ${this.machine.folder.name} takes writes again; this node votes again`);
    this.setState("ready", "");
  }

  private recordRefusal(cause: unknown): void {
    const error = storageRemedies.describeFailure(cause);
    log.count("disk.refused");
    if (error !== this.error) log.state(`disk: data_dir ${this.machine.folder.name}: ${error}; this node does not vote until it can`);
    this.setState("refusing", error);
  }

  private setState(state: Exclude<DiskState, "hanging">, error: string): void {
    if (this.state === "closed") return;
    this.state = state;
    this.error = error;
  }
}
