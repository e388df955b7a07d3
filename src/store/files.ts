/**
 * The file system as the stores use it, and its local implementation. Tests substitute a simulated disk.
 */
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as errors from "../runtime/errors.js";
import * as log from "../runtime/log.js";
import * as storageRemedies from "./storage-remedies.js";

/** One open file. Positions and lengths are in bytes. */
export interface StoreFile {
  /** The whole content. */
  read(): Promise<Buffer>;
  /** Writes at a position and resolves with the count of bytes written, which may be smaller than requested. */
  write(bytes: Buffer, position: number): Promise<number>;
  /** Resolves once all writes to this file are durable. After a failure nothing is known about any of them. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** The folder of one voter. */
export interface StoreFolder {
  readonly name: string;
  /** Creates the folder and its missing parents. */
  make(): Promise<void>;
  /** Opens a file; creates it empty if it is missing. */
  open(name: string): Promise<StoreFile>;
  /** Resolves once the names of the files, of the folder and of its created parents are durable. */
  sync(): Promise<void>;
}

/** A file that can also be read in parts. */
export interface RecordFile extends StoreFile {
  /** Reads up to `bytes` bytes from a position on; fewer at the end of the file. */
  readAt(position: number, bytes: number): Promise<Buffer>;
}

/** A folder whose files are created and removed over time (batch/records.ts). */
export interface RecordFolder extends StoreFolder {
  open(name: string): Promise<RecordFile>;
  /** Names of all files there. */
  names(): Promise<string[]>;
  /** Removes a file; durable with the next `sync`. */
  remove(name: string): Promise<void>;
}

class LocalFile implements RecordFile {
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

/** A folder of the local file system. */
export class LocalFolder implements RecordFolder {
  /** The topmost folder that this process created; its parent must be synced, too. */
  private topmostCreated: string | null = null;

  constructor(readonly name: string) {}

  async make(): Promise<void> {
    const topmostCreated = await fs.mkdir(this.name, { recursive: true });
    if (topmostCreated !== undefined && this.topmostCreated === null) this.topmostCreated = path.resolve(topmostCreated);
  }

  async open(name: string): Promise<RecordFile> {
    return new LocalFile(await fs.open(path.join(this.name, name), fs.constants.O_RDWR | fs.constants.O_CREAT));
  }

  names(): Promise<string[]> {
    return fs.readdir(this.name);
  }

  remove(name: string): Promise<void> {
    return fs.unlink(path.join(this.name, name));
  }

  async sync(): Promise<void> {
    const folder = path.resolve(this.name);
    const parents = parentsUpTo(folder, this.topmostCreated);
    if (this.topmostCreated === null) await Promise.all([syncFolder(folder), syncForeignParent(path.dirname(folder))]);
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

/** Syncs a parent that existed before: an earlier process may have created the folder and ended. This user may have no access to it. */
async function syncForeignParent(folder: string): Promise<void> {
  try {
    await syncFolder(folder);
  } catch (cause) {
    if (storageRemedies.errorCodeOf(cause) === "EIO") throw cause;
    log.count("store.parent_sync_failed");
  }
}

/** Writes all bytes: a single write may take fewer, as on a full disk, and is continued. Rejects once one takes none. */
export async function writeFully(file: StoreFile, bytes: Buffer, position: number): Promise<void> {
  let done = 0;
  while (done < bytes.length) {
    const written = await file.write(bytes.subarray(done), position + done);
    if (written <= 0)
      throw new errors.StorageError(`a write stopped after ${done} of ${bytes.length} bytes`, "free space on the disk of data_dir");
    done += written;
  }
}
