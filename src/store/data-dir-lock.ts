/**
 * Lock of the data folder against a second process on the same machine. The file `owner` identifies the process that uses
 * the folder; the lock of a process that has ended, however it ended, is void, so the file never needs to be removed.
 */
import * as fs from "node:fs/promises";
import * as errors from "../runtime/errors.js";
import * as log from "../runtime/log.js";
import type * as files from "./files.js";

const LOCK_FILE = "owner";
const IDENTITY_BYTES = 128;
/** Fields of `/proc/PID/stat` after the name of the program: the state first, the time of its start (ticks) at 19. */
const STATE_FIELD = 0;
const START_TIME_FIELD = 19;

/** Identity of one process incarnation: boot of the machine, process id, and start time in ticks since the boot. */
export interface ProcessIdentity {
  boot: string;
  pid: number;
  startTicks: string;
}

/** The process table of the machine; tests substitute their own. */
export interface ProcessTable {
  /** This process; null where the system does not tell. */
  current(): Promise<ProcessIdentity | null>;
  /** Whether that very process incarnation still runs. */
  isRunning(identity: ProcessIdentity): Promise<boolean>;
}

async function readStat(pid: number | "self"): Promise<string[]> {
  const stat = await fs.readFile(`/proc/${pid}/stat`, "utf8");
  return stat.slice(stat.lastIndexOf(")") + 2).split(" ");
}

async function readBoot(): Promise<string> {
  return (await fs.readFile("/proc/sys/kernel/random/boot_id", "utf8")).trim();
}

async function currentProcess(): Promise<ProcessIdentity | null> {
  try {
    return { boot: await readBoot(), pid: process.pid, startTicks: (await readStat("self"))[START_TIME_FIELD] };
  } catch {
    return null;
  }
}

async function isRunning(identity: ProcessIdentity): Promise<boolean> {
  try {
    const fields = await readStat(identity.pid);
    const isEnded = fields[STATE_FIELD] === "Z" || fields[STATE_FIELD] === "X";
    return !isEnded && fields[START_TIME_FIELD] === identity.startTicks && (await readBoot()) === identity.boot;
  } catch {
    return false;
  }
}

/** The process table of the operating system, read from /proc. */
export const systemProcesses: ProcessTable = { current: currentProcess, isRunning };

/** Locks the folder for this process; rejects if another running process uses it. */
export async function acquire(folder: files.StoreFolder, processes: ProcessTable): Promise<void> {
  const own = await processes.current();
  if (!own) return;
  const file = await folder.open(LOCK_FILE);
  try {
    const content = (await file.read()).toString("utf8");
    const owner = decodeIdentity(content);
    if (owner && owner.pid !== own.pid && (await processes.isRunning(owner))) throw inUse(folder.name, owner.pid);
    const encoded = encodeIdentity(own);
    if (content !== encoded) await file.write(Buffer.from(encoded), 0).catch(countUnwrittenLock);
  } finally {
    await file.close();
  }
}

/** Not an error: a disk that takes no new file may still take records into existing ones. */
function countUnwrittenLock(): void {
  log.count("store.lock_not_written");
}

function encodeIdentity(identity: ProcessIdentity): string {
  return `${identity.boot} ${identity.pid} ${identity.startTicks}\n`.padEnd(IDENTITY_BYTES);
}

function decodeIdentity(content: string): ProcessIdentity | null {
  const match = /^(\S+) (\d+) (\d+)\n/.exec(content);
  return match && { boot: match[1], pid: Number(match[2]), startTicks: match[3] };
}

function inUse(name: string, pid: number): errors.CranewindError {
  return new errors.StorageError(
    `data_dir ${name} is in use by process ${pid}`,
    "stop that process, or give this node a data_dir of its own",
  );
}
