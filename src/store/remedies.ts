/**
 * Puts a failure of the file system into words for operators: what failed and what to do.
 */
import * as errors from "../runtime/errors.js";

const REMEDIES = new Map<string, string>([
  ["EACCES", "let the user of this process read and write data_dir"],
  ["EPERM", "let the user of this process read and write data_dir"],
  ["EROFS", "mount the file system of data_dir writable"],
  ["ENOTDIR", "data_dir or a parent of it is a file: name a folder"],
  ["EEXIST", "data_dir or a parent of it is a file: name a folder"],
  ["EISDIR", "data_dir holds a folder in the place of a file: empty it"],
  ["ENOSPC", "free space on the disk of data_dir"],
  ["EDQUOT", "free space on the disk of data_dir"],
  ["EIO", "the disk is failing: replace it"],
  ["EMFILE", "raise limits.max_open_files"],
]);

const UNKNOWN_REMEDY = "look at the disk of data_dir";

/** An error of the disk with its remedy. */
export function describe(cause: unknown): string {
  if (cause instanceof errors.CranewindError) return cause.message;
  const { message, code } = cause as Partial<NodeJS.ErrnoException>;
  return `${message ?? String(cause)}; ${REMEDIES.get(code ?? "") ?? UNKNOWN_REMEDY}`;
}
