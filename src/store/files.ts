/**
 * What the store asks of a file system, and the real one. Tests hand in a simulated disk.
 */
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as errors from "../runtime/errors.js";
import * as log from "../runtime/log.js";

/** One open file. Positions and lengths are in bytes. */
export interface StoreFile {
  /** The whole content. */
  read(): Promise<Buffer>;
  /** Writes at a position and gives the count of bytes written, which may be smaller than asked. */
  write(bytes: Buffer, position: number): Promise<number>;
  /** Resolves once every write of this file is durable. After a failure nothing is known of any of them. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** The folder of one voter. */
export interface StoreFolder {
  readonly name: string;
  /** Makes the folder and its parents where they are missing. */
  make(): Promise<void>;
  /** Opens a file, made empty if it is missing. */
  open(name: string): Promise<StoreFile>;
  /** Resolves once the names of the files, of the folder and of the parents that were made are durable. */
  sync(): Promise<void>;
}

/** A file that is read in parts, too. */
export interface RecordFile extends StoreFile {
  /** So many bytes from a position on; fewer at the end of the file. */
  readAt(position: number, bytes: number): Promise<Buffer>;
}

/** A folder whose files come and go (batch/records.ts). */
export interface RecordFolder extends StoreFolder {
  open(name: string): Promise<RecordFile>;
  /** Names of all files there. */
  names(): Promise<string[]>;
  /** Takes a file away; durable with the next `sync`. */
  remove(name: string): Promise<void>;
}

class RealFile implements RecordFile {
  constructor(private readonly handle: fs.FileHandle) {}

  read(): Promise<Buffer> {
    return this.handle.readFile();
  }

  async write(bytes: Buffer, position: number): Promise<number> {
    return (await this.handle.write(bytes, 0, bytes.length, position)).bytesWritten;
  }

  async readAt(position: number, bytes: number): Promise<Buffer> {
    const into = Buffer.alloc(bytes);
    const { bytesRead } = await this.handle.read(into, 0, bytes, position);
    return into.subarray(0, bytesRead);
  }

  sync(): Promise<void> {
    return this.handle.datasync();
  }

  close(): Promise<void> {
    return this.handle.close();
  }
}

/** A folder of the machine's own file system. */
export class RealFolder implements RecordFolder {
  /** The topmost folder that this process made itself; its parent must be synced, too. */
  private firstMade: string | null = null;

  constructor(readonly name: string) {}

  async make(): Promise<void> {
    const firstMade = await fs.mkdir(this.name, { recursive: true });
    if (firstMade !== undefined && this.firstMade === null) this.firstMade = path.resolve(firstMade);
  }

  async open(name: string): Promise<RecordFile> {
    return new RealFile(await fs.open(path.join(this.name, name), fs.constants.O_RDWR | fs.constants.O_CREAT));
  }

  names(): Promise<string[]> {
    return fs.readdir(this.name);
  }

  remove(name: string): Promise<void> {
    return fs.unlink(path.join(this.name, name));
  }

  async sync(): Promise<void> {
    const folder = path.resolve(this.name);
    const parents = parentsUpTo(folder, this.firstMade);
    if (this.firstMade === null) await Promise.all([syncFolder(folder), syncForeignParent(path.dirname(folder))]);
    else await Promise.all([folder, ...parents].map(syncFolder));
  }
}

/** All parents of a folder, up to the parent of `topmost`. */
function parentsUpTo(folder: string, topmost: string | null): string[] {
  const parents: string[] = [];
  for (let current = folder; topmost !== null; current = path.dirname(current)) {
    parents.push(path.dirname(current));
    if (current === topmost || current === path.dirname(current)) break;
  }
  return parents;
}

async function syncFolder(folder: string): Promise<void> {
  const handle = await fs.open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** A parent that was there before: an earlier process may have made the folder and ended. It may be closed to this user. */
async function syncForeignParent(folder: string): Promise<void> {
  try {
    await syncFolder(folder);
  } catch (cause) {
    if ((cause as NodeJS.ErrnoException).code === "EIO") throw cause;
    log.count("store.parent_sync_failed");
  }
}

/** A write may take fewer bytes than it was given, as on a full disk: the rest is written until all is, or none more. */
export async function writeWhole(file: StoreFile, bytes: Buffer, position: number): Promise<void> {
  let done = 0;
  while (done < bytes.length) {
    const written = await file.write(bytes.subarray(done), position + done);
    if (written <= 0)
      throw new errors.StorageError(`a write stopped after ${done} of ${bytes.length} bytes`, "free space on the disk of data_dir");
    done += written;
  }
}
