/** Errors of the project: a kind that code decides by, and a message that names the remedy (design 1.5). */
/** What went wrong; commands turn it into an exit code, control nodes into a status code. */
export type Kind =
  | "startup"
  | "store"
  | "link"
  | "timeout"
  | "no_majority"
  | "invalid"
  | "race"
  | "forgotten"
  | "too_large"
  | "not_found"
  | "not_ready"
  | "full"
  | "runner"
  | "usage";

/** An expected failure. Its message ends with the remedy, so printing it is enough. */
export class CranewindError extends Error {
  constructor(
    readonly kind: Kind,
    message: string,
    readonly remedy: string,
  ) {
    super(remedy === "" ? message : `${message}; ${remedy}`);
  }
}

/** Makes an error; it is returned as a result more often than thrown. */
export function fail(kind: Kind, message: string, remedy: string): CranewindError {
  return new CranewindError(kind, message, remedy);
}
