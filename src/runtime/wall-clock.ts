/**
 * This machine's time of day. Only usage is counted by it (design/duties 4), and only after it was compared with other machines':
 * it may jump by seconds. Everything else is decided by the steady clock.
 */

/** Milliseconds since the start of 1970. */
export function timeOfDayMs(): number {
  return Date.now();
}
