/**
 * The expected failures of the project as one hierarchy (design 1.5): each class has a stable code, says whether the same
 * call may succeed when it is sent again, and carries a message that ends with the remedy, so that printing it is enough.
 * Functions whose failure is part of their job return them as `Result`; they are thrown only where a caller can't go on.
 */

/** Stable name of a failure; commands turn it into an exit code, control nodes into a status code and a counter. */
export type ErrorCode =
  | "startup"
  | "store"
  | "link"
  | "timeout"
  | "expired"
  | "no_majority"
  | "invalid"
  | "race"
  | "conflict"
  | "forgotten"
  | "too_large"
  | "not_found"
  | "not_ready"
  | "full"
  | "usage";

/** An expected failure. `cause` is the error beneath it, where there is one. */
export abstract class CranewindError extends Error {
  /** Stable name of the failure. */
  abstract readonly code: ErrorCode;
  /** Whether the same call may succeed later without a change to it. */
  abstract readonly isRetriable: boolean;

  constructor(
    message: string,
    /** What the reader can do about it; empty where the message says so already. */
    readonly remedy: string,
    options?: ErrorOptions,
  ) {
    super(remedy === "" ? message : `${message}; ${remedy}`, options);
    this.name = new.target.name;
  }
}

/** The process can't start with the settings it was given. */
export class StartupError extends CranewindError {
  readonly code = "startup";
  readonly isRetriable = false;
}

/** A file of the data folder can't be read or written as it stands. */
export class StorageError extends CranewindError {
  readonly code = "store";
  readonly isRetriable = false;
}

/** A connection to another process broke before the reply came. */
export class ConnectionError extends CranewindError {
  readonly code = "link";
  readonly isRetriable = true;
}

/** No reply came in time; whether the call was carried out is not known. */
export class TimeoutError extends CranewindError {
  readonly code = "timeout";
  readonly isRetriable = true;
}

/** The order waited for so long that newer ones may have been acknowledged elsewhere; it is not carried out any more. */
export class ExpiredOrderError extends CranewindError {
  readonly code = "expired";
  readonly isRetriable = true;
}

/** Too few voters replied for a decision; whether the change is chosen is not known. */
export class NoQuorumError extends CranewindError {
  readonly code = "no_majority";
  readonly isRetriable = true;
}

/** The request is malformed or breaks a rule of the configuration; nothing was done. */
export class InvalidRequestError extends CranewindError {
  readonly code = "invalid";
  readonly isRetriable = false;
}

/** The change is based on a revision that is no longer the current one; nothing was done. */
export class RevisionConflictError extends CranewindError {
  readonly code = "race";
  readonly isRetriable = false;
}

/** Another operation of the same kind is under way; nothing was done. */
export class ConflictError extends CranewindError {
  readonly code = "conflict";
  readonly isRetriable = false;
}

/** The change is older than all that the history remembers; whether it was carried out is not known. */
export class UnknownOutcomeError extends CranewindError {
  readonly code = "forgotten";
  readonly isRetriable = false;
}

/** The request or its result is over a bound on bytes; nothing was done. */
export class PayloadTooLargeError extends CranewindError {
  readonly code = "too_large";
  readonly isRetriable = false;
}

/** What the request names is not there. */
export class NotFoundError extends CranewindError {
  readonly code = "not_found";
  readonly isRetriable = false;
}

/** The node is not yet able to answer. */
export class NotReadyError extends CranewindError {
  readonly code = "not_ready";
  readonly isRetriable = true;
}

/** A bound on stored or pending work is reached; nothing was done. */
export class CapacityExceededError extends CranewindError {
  readonly code = "full";
  readonly isRetriable = true;
}

/** A command was called with wrong arguments or an unreadable file. */
export class UsageError extends CranewindError {
  readonly code = "usage";
  readonly isRetriable = false;
}

/** The message of whatever was caught; for lines of the log. */
export function messageOf(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
