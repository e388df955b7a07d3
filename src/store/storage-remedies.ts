/**
 * Messages for operators about failures of the file system: what failed and the remedy, by the error code of the system.
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

/** The code of a system error, such as `EIO`; undefined for any other error. */
export function errorCodeOf(cause: unknown): string | undefined {
  if (typeof cause !== "object" || cause === null || !("code" in cause)) return undefined;
  return typeof cause.code === "string" ? cause.code : undefined;
}

/** The message of an error of the disk, with its remedy. */
export function describeFailure(cause: unknown): string {
  if (cause instanceof errors.CranewindError) return cause.message;
  const { message } = cause as Partial<Error>;
  return `${message ?? String(cause)}; ${REMEDIES.get(errorCodeOf(cause) ?? "") ?? UNKNOWN_REMEDY}`;
}
