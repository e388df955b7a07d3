/**
 * Keeps two processes of one machine off one folder. The file `owner` names the process that uses it; a process that
 * has ended, however it ended, owns nothing, so the file never needs to be removed.
 */
import * as fs from "node:fs/promises";
import * as errors from "../runtime/errors.js";
import * as log from "../runtime/log.js";
import type * as files from "./files.js";

const OWNER_FILE = "owner";
const MAX_MARK_BYTES = 128;
/** Fields of `/proc/PID/stat` after the name of the program: the state first, the time of its start (ticks) at 19. */
const STATE_FIELD = 0;
const START_FIELD = 19;

/** One life of one process: the machine's boot, its number, and when it started. */
export interface ProcessMark {
  boot: string;
  pid: number;
  startTicks: string;
}

/** The processes of this machine; tests hand in their own. */
export interface ProcessTable {
  /** Null where the machine does not tell. */
  own(): Promise<ProcessMark | null>;
  isRunning(mark: ProcessMark): Promise<boolean>;
}

async function readStat(pid: number | "self"): Promise<string[]> {
  const stat = await fs.readFile(`/proc/${pid}/stat`, "utf8");
  return stat.slice(stat.lastIndexOf(")") + 2).split(" ");
}

async function readBoot(): Promise<string> {
  return (await fs.readFile("/proc/sys/kernel/random/boot_id", "utf8")).trim();
}

async function ownMark(): Promise<ProcessMark | null> {
  try {
    return { boot: await readBoot(), pid: process.pid, startTicks: (await readStat("self"))[START_FIELD] };
  } catch {
    return null;
  }
}

async function isRunning(mark: ProcessMark): Promise<boolean> {
  try {
    const fields = await readStat(mark.pid);
    const isEnded = fields[STATE_FIELD] === "Z" || fields[STATE_FIELD] === "X";
    return !isEnded && fields[START_FIELD] === mark.startTicks && (await readBoot()) === mark.boot;
  } catch {
    return false;
  }
}

/** This machine's own processes. */
export const realProcesses: ProcessTable = { own: ownMark, isRunning };

/** Rejects if another running process uses the folder; else names this one as its user. */
export async function claim(folder: files.StoreFolder, processes: ProcessTable): Promise<void> {
  const own = await processes.own();
  if (!own) return;
  const file = await folder.open(OWNER_FILE);
  try {
    const content = (await file.read()).toString("utf8");
    const owner = parse(content);
    if (owner && owner.pid !== own.pid && (await processes.isRunning(owner))) throw inUse(folder.name, owner.pid);
    const mark = print(own);
    if (content !== mark) await file.write(Buffer.from(mark), 0).catch(notNamed);
  } finally {
    await file.close();
  }
}

/** A disk that takes no new file may still take records into those that it has. */
function notNamed(): void {
  log.count("store.owner_not_written");
}

function print(mark: ProcessMark): string {
  return `${mark.boot} ${mark.pid} ${mark.startTicks}\n`.padEnd(MAX_MARK_BYTES);
}

function parse(content: string): ProcessMark | null {
  const match = /^(\S+) (\d+) (\d+)\n/.exec(content);
  return match && { boot: match[1], pid: Number(match[2]), startTicks: match[3] };
}

function inUse(name: string, pid: number): errors.CranewindError {
  return new errors.StorageError(
    `data_dir ${name} is in use by process ${pid}`,
    "stop that process, or give this node a data_dir of its own",
  );
}
