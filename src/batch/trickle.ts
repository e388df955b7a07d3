/**
 * How much of a fleet's room batches may take (design/batch 6): they follow the room that interactive requests leave.
 * Pure functions; the owner and the projection of waits use the same, so that what is projected is what is done.
 */

/** Batches fill a cell up to this part of its places at most, whatever takes them. */
export const FILL_SHARE = 0.7;
/** Of a cell's places, so many may be taken anew by batches before a report shows them. */
export const STEP_SHARE = 0.3;
/** Of what a cell's runners can read, so much is left to batches at most (*ours*). */
const READ_SHARE = 0.3;
/** A cell that was left alone saves up this much reading for batches, in milliseconds. */
const SAVED_READ_MS = 1000;
/** A send is in the reports after so long, in milliseconds. */
export const UNREPORTED_MS = 1000;
/** Sends of one change of the table, and attempts under way together. */
export const MAX_SENDS = 48;
/** Attempts under way together. */
export const MAX_AT_WORK = 256;

/** One service in one region, by the newest reports. */
export interface CellRoom {
  region: string;
  /** Requests that its runners run at once, and those running and waiting there now, batch items among them. */
  places: number;
  used: number;
  waiting: number;
  /** Tokens of prompts that may be read there for batches a millisecond; Infinity: no bound is known. */
  readPerMs: number;
}

/** Places that batches may hold in a cell in which interactive requests hold so many. */
export function batchPlaces(places: number, interactive: number): number {
  return Math.max(0, FILL_SHARE * places - interactive);
}

/** Items that may be sent now on top of those at work; `unreported`: sent so lately that no report shows them. */
export function mayStart(room: CellRoom, unreported: number): number {
  if (room.waiting > 0) return 0;
  const free = Math.floor(FILL_SHARE * room.places - room.used - unreported);
  const step = Math.max(1, Math.floor(STEP_SHARE * room.places));
  return Math.max(0, Math.min(free, step - unreported));
}

/** Tokens a millisecond that may be read for batches by so many runners; readRate: of one, 0 if it is not known. */
export function readPerMs(runners: number, readRate: number): number {
  return readRate > 0 ? READ_SHARE * runners * readRate : Infinity;
}

/** What of a cell's reading batches have not used yet. */
export class ReadBudget {
  private tokens = 0;
  private at: number | null = null;

  /** Earns what the time since the last call allows; one item of any size may always go when nothing is owed. */
  earn(now: number, perMs: number): void {
    if (!Number.isFinite(perMs)) this.tokens = Infinity;
    else {
      const before = Number.isFinite(this.tokens) ? this.tokens : 0;
      const earned = this.at === null ? SAVED_READ_MS * perMs : (now - this.at) * perMs;
      this.tokens = Math.min(SAVED_READ_MS * perMs, before + earned);
    }
    this.at = now;
  }

  /** False: what was read before has to be earned first. */
  spend(tokens: number): boolean {
    if (this.tokens <= 0) return false;
    this.tokens -= tokens;
    return true;
  }
}
