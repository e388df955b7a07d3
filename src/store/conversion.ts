/**
 * Conversion of the voter's files of release 1, safe against an interruption at any point (hardening 6, section 2.10). The
 * newest old record is copied to a file of its own and made durable before any old file is changed; the copy is cleared
 * only once the first record of the new set is durable, and before the voter takes part. So there is always one complete
 * record, and never a moment at which an older one could be mistaken for the newest.
 */
import * as log from "../runtime/log.js";
import * as files from "./files.js";
import * as format from "./format.js";
import * as release1Format from "./release-1-format.js";

/** File with the newest record of release 1 while the files are converted; cleared afterwards. */
export const COPY_NAME = "register-unversioned";

/**
 * The newest record of release 1, durable in the copy by now; null where there is nothing to convert. `contents`: the
 * files of the ring. Rejects with the error of the disk.
 */
export async function preserve(folder: files.StoreFolder, contents: readonly Buffer[]): Promise<Buffer | null> {
  if (contents.every(isBlank)) return null;
  if (contents.every(isOldOrBlank)) return preserveNewest(folder, contents);
  return isInterrupted(contents) ? readCopy(folder) : null;
}

/** After an interrupted conversion no file has a record of the new format, and no header is of a set created later. */
function isInterrupted(contents: readonly Buffer[]): boolean {
  return !contents.some(hasNewRecord) && !contents.some(isOfLaterSet);
}

function hasNewRecord(content: Buffer): boolean {
  return format.decodeRecord(content.subarray(format.RECORD_OFFSET)) !== null;
}

function isOfLaterSet(content: Buffer): boolean {
  if (release1Format.hasRelease1Magic(content)) return false;
  const header = format.decodeFileHeader(content);
  return header !== null && header.origin !== "converted";
}

function isBlank(content: Buffer): boolean {
  return content.equals(Buffer.alloc(content.length));
}

function isOldOrBlank(content: Buffer): boolean {
  return isBlank(content) || release1Format.hasRelease1Magic(content);
}

async function preserveNewest(folder: files.StoreFolder, contents: readonly Buffer[]): Promise<Buffer | null> {
  const newest = release1Format.newestRecord(contents);
  if (!newest) return null;
  const source = contents.find((content) => release1Format.decodeRecord(content)?.number === newest.number)!;
  const bytes = source.subarray(0, release1Format.RECORD_HEADER_BYTES + newest.body.length);
  const copy = await folder.open(COPY_NAME);
  try {
    await files.writeFully(copy, bytes, 0);
    await copy.sync();
  } finally {
    await copy.close();
  }
  await folder.sync();
  log.count("store.converting");
  log.state(`store: data_dir holds files of release 1, record ${newest.number}; they are converted`);
  return newest.body;
}

async function readCopy(folder: files.StoreFolder): Promise<Buffer | null> {
  const copy = await folder.open(COPY_NAME);
  try {
    return release1Format.decodeRecord(await copy.read())?.body ?? null;
  } finally {
    await copy.close();
  }
}

/** Clears the copy: from now on only the new set counts. Called before the voter takes part. */
export async function discardCopy(folder: files.StoreFolder): Promise<void> {
  const copy = await folder.open(COPY_NAME);
  try {
    const content = await copy.read();
    if (isBlank(content)) return;
    await files.writeFully(copy, Buffer.alloc(content.length), 0);
    await copy.sync();
  } finally {
    await copy.close();
  }
  log.state("store: the files of release 1 are converted");
}
