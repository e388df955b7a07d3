/**
 * The voter's disk (design 5.3, 5.4; hardening 6): opens it, however often that takes, and tells whether it takes writes. A disk
 * that can't be read or written makes a silent voter; it never ends the process and never holds up its other work.
 */
import * as crypto from "node:crypto";
import * as log from "../../runtime/log.js";
import * as release1 from "../../register/release-1.js";
import * as registerValue from "../../register/register-value.js";
import * as acceptor from "../../register/acceptor.js";
import * as conversion from "../../store/conversion.js";
import type * as files from "../../store/files.js";
import * as format from "../../store/format.js";
import * as owner from "../../store/owner.js";
import * as remedies from "../../store/remedies.js";
import * as ring from "../../store/ring.js";
import * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import * as timers from "../../runtime/timers.js";

/** Pause between two attempts at a disk that refuses. */
export const RETRY_MS = 500;
/** An operation that takes longer than this is told as a disk that hangs. */
export const HANG_MS = 2000;
/** How long an ending process waits for a disk that hangs. */
const CLOSE_MS = 1000;

/** Which node the disk belongs to. */
export interface VoterNode {
  address: string;
  seeds: readonly string[];
  isBootstrap: boolean;
}

/** What the disk needs of its machine; tests hand in their own. */
export interface Machine {
  world: types.Clock;
  folder: files.StoreFolder;
  processes: owner.ProcessTable;
}

/** `opening`: not read yet; `ready`: the last write was taken; `refusing`: not; `hanging`: it does not answer. */
export type DiskState = "opening" | "ready" | "refusing" | "hanging" | "closed";

/** The disk as `status` shows it. */
export interface DiskStatus {
  state: DiskState;
  /** What failed last and its remedy; empty while all is well. */
  error: string;
  /** How long the operation under way has taken so far, in ms; 0 if there is none. */
  waitingMs: number;
}

/** Tells records of this release's layout from those of others. */
export function recordLayout(): number {
  return schema.disk.fingerprint("sha256").readUInt32BE(0);
}

function newSetId(): Buffer {
  return crypto.randomBytes(format.SET_ID_BYTES);
}

/** The state of a voter that has no record. Only the very first start knows the first value without asking anybody. */
function blankState(place: VoterNode, isPristine: boolean): schema.Disk {
  const isFirst = isPristine && place.isBootstrap && place.seeds.includes(place.address);
  const disk = isFirst ? registerValue.initialDisk(place.address) : `disk:${crypto.randomBytes(9).toString("base64url")}`;
  const accepted = isFirst ? { ballot: registerValue.NO_BALLOT, value: registerValue.initialValue(place.seeds) } : null;
  return { disk, promised: registerValue.NO_BALLOT, accepted };
}

function stateOf(opened: ring.OpenedRing, place: VoterNode): schema.Disk {
  if (opened.newest) return acceptor.Acceptor.restore(opened.newest);
  return opened.unconverted ? release1.convert(opened.unconverted) : blankState(place, opened.isPristine);
}

/** The disk of one voter; `start` begins to open it. */
export class VoterDisk implements acceptor.RecordStore {
  private ring: ring.Ring | null = null;
  private state: Exclude<DiskState, "hanging"> = "opening";
  private isHanging = false;
  private error = "";
  /** When the operation under way began; null if there is none. */
  private busySince: types.SteadyMs | null = null;
  private retry: types.Timer | null = null;
  /** The newest record handed in; what a refusing disk is tried with. */
  private latest: Buffer | null = null;
  private probing: Promise<void> = Promise.resolve();

  constructor(
    private readonly machine: Machine,
    private readonly place: VoterNode,
    private readonly entered: (voter: acceptor.Acceptor) => void,
  ) {}

  /** Begins to open the disk and returns at once; `entered` is called with the voter when it is open. */
  start(): void {
    void this.openOrRetry();
  }

  /** Resolves once the files are closed, or soon after if the disk hangs. */
  async stop(): Promise<void> {
    this.state = "closed";
    this.retry?.stop();
    await timers.endsWithin(this.machine.world, CLOSE_MS, this.closeRing());
  }

  status(): DiskStatus {
    const waitingMs = this.busySince === null ? 0 : this.machine.world.now() - this.busySince;
    return { state: this.isHanging ? "hanging" : this.state, error: this.error, waitingMs };
  }

  /** Resolves once the record is durable; rejects if it may not be. One call at a time. */
  async write(body: Buffer): Promise<void> {
    this.latest = body;
    await this.probing;
    await this.writeNow(body);
  }

  private async openOrRetry(): Promise<void> {
    try {
      await this.timed(this.open.bind(this));
    } catch (cause) {
      this.refused(cause);
      this.again(this.openOrRetry.bind(this));
    }
  }

  private async open(): Promise<void> {
    const { folder, processes } = this.machine;
    await folder.make();
    await owner.claim(folder, processes);
    const opened = await ring.Ring.open(folder, { layout: recordLayout(), newSetId });
    try {
      const state = stateOf(opened, this.place);
      if (!opened.newest) await opened.ring.write(schema.disk.toBuffer(state));
      if (opened.unconverted) await conversion.discard(folder);
      else if (!opened.newest) log.state(`store: no record on disk, new identity ${state.disk}`);
      this.enter(opened.ring, state);
    } catch (cause) {
      await opened.ring.close();
      throw cause;
    }
  }

  private enter(ring: ring.Ring, state: schema.Disk): void {
    if (this.state === "closed") {
      void ring.close();
      return;
    }
    this.ring = ring;
    this.accepted();
    this.entered(new acceptor.Acceptor(this, state));
  }

  private async writeNow(body: Buffer): Promise<void> {
    const { ring } = this;
    if (!ring) throw new Error("the disk is not open");
    try {
      await this.timed(ring.write.bind(ring, body));
      this.accepted();
    } catch (cause) {
      this.refused(cause);
      this.again(this.probe.bind(this));
      throw cause;
    }
  }

  /** Tries a refusing disk with the newest record, so that `status` shows when it takes writes again. */
  private probe(): void {
    if (this.state !== "refusing" || this.busySince !== null || !this.latest) return;
    this.probing = this.writeNow(this.latest).catch(ignore);
  }

  private again(attempt: () => unknown): void {
    this.retry?.stop();
    if (this.state !== "closed") this.retry = this.machine.world.schedule(RETRY_MS, attempt);
  }

  private async closeRing(): Promise<void> {
    await this.probing;
    await this.ring?.close();
  }

  private async timed(operation: () => Promise<void>): Promise<void> {
    this.busySince = this.machine.world.now();
    const timer = this.machine.world.schedule(HANG_MS, this.hangs.bind(this));
    try {
      await operation();
    } finally {
      timer.stop();
      this.busySince = null;
      if (this.isHanging) log.state(`disk: data_dir ${this.machine.folder.name} answers again`);
      this.isHanging = false;
    }
  }

  private hangs(): void {
    this.isHanging = this.state !== "closed";
    log.count("disk.hung");
    log.state(`disk: data_dir ${this.machine.folder.name} has not answered for ${HANG_MS} ms; this node does not vote until it does`);
  }

  private accepted(): void {
    if (this.state === "refusing") log.state(`disk: data_dir ${this.machine.folder.name} takes writes again; this node votes again`);
    this.change("ready", "");
  }

  private refused(cause: unknown): void {
    const error = remedies.describe(cause);
    log.count("disk.refused");
    if (error !== this.error) log.state(`disk: data_dir ${this.machine.folder.name}: ${error}; this node does not vote until it can`);
    this.change("refusing", error);
  }

  private change(state: Exclude<DiskState, "hanging">, error: string): void {
    if (this.state === "closed") return;
    this.state = state;
    this.error = error;
  }
}

/** The refusal is in `status` already. */
function ignore(): void {}
