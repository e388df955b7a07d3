// Typed kinds of errors; each message names the remedy (design 1.5).
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

export class CranewindError extends Error {
  constructor(
    readonly kind: Kind,
    message: string,
    readonly remedy: string,
  ) {
    super(remedy === "" ? message : `${message}; ${remedy}`);
  }
}

export function fail(kind: Kind, message: string, remedy: string): CranewindError {
  return new CranewindError(kind, message, remedy);
}
