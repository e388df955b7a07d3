/**
 * Splits a stream of server-sent events into complete ones, so that another runner can resume it after the last (design 7.9).
 * Each byte is looked at once, whatever the chunks, and an event that is too long to be held is passed on as it comes.
 */
import * as log from "../../runtime/log.js";
import * as byteCollector from "../../wire/byte-collector.js";

const NEWLINE = 10;
const CARRIAGE_RETURN = 13;
const LETTER_I = 105;
const ID_FIELD = "id:";
/** The longest event that is held until it is complete, in bytes; a longer one ends the splitting. */
export const MAX_HELD_EVENT_BYTES = 64 * 1024;

const NOTHING = Buffer.alloc(0);

/** Splits one stream; its bytes are pushed in order. */
export class EventSplitter {
  /** The bytes after the last complete event. */
  private readonly held = new byteCollector.ByteCollector();
  /** Of the held bytes, those that were looked at. */
  private scannedBytes = 0;
  /** Where the line that is not complete begins, among the held bytes. */
  private lineStart = 0;
  /** The id of the event that is not complete. */
  private pendingId: string | null = null;
  /** The id of the last complete event that had one. */
  lastId: string | null = null;
  /** Complete events so far. */
  count = 0;
  /** An event was too long to be held: all bytes are passed on, and the stream can't be resumed any more. */
  isPassingThrough = false;

  /** The events that the chunk completes; the remainder is held. */
  push(chunk: Buffer): Buffer {
    if (this.isPassingThrough || chunk.length === 0) return chunk;
    this.held.append(chunk);
    const completeBytes = this.scan(this.held.peek());
    const heldBytes = this.held.length - completeBytes;
    if (heldBytes > MAX_HELD_EVENT_BYTES) {
      log.count("router.event_too_long");
      this.isPassingThrough = true;
      return this.takeRemainder();
    }
    return completeBytes === 0 ? NOTHING : this.release(completeBytes);
  }

  /** Looks at the bytes that are new; returns how many belong to complete events. */
  private scan(bytes: Buffer): number {
    let completeBytes = 0;
    for (let index = bytes.indexOf(NEWLINE, this.scannedBytes); index >= 0; index = bytes.indexOf(NEWLINE, index + 1)) {
      if (this.endLine(bytes, index)) completeBytes = index + 1;
      this.lineStart = index + 1;
    }
    this.scannedBytes = bytes.length;
    return completeBytes;
  }

  /** The line ends at this newline; returns whether it is empty, which completes an event. */
  private endLine(bytes: Buffer, newlineAt: number): boolean {
    const { lineStart } = this;
    const lineEnd = newlineAt > lineStart && bytes[newlineAt - 1] === CARRIAGE_RETURN ? newlineAt - 1 : newlineAt;
    if (lineEnd > lineStart) {
      const fieldEnd = lineStart + ID_FIELD.length;
      const isId = bytes[lineStart] === LETTER_I && bytes.toString("latin1", lineStart, fieldEnd) === ID_FIELD;
      if (isId) this.pendingId = bytes.toString("latin1", fieldEnd, lineEnd).trim();
      return false;
    }
    if (this.pendingId !== null) this.lastId = this.pendingId;
    this.pendingId = null;
    this.count += 1;
    return true;
  }

  private release(completeBytes: number): Buffer {
    const bytes = this.held.take();
    this.held.append(bytes.subarray(completeBytes));
    this.scannedBytes = this.held.length;
    this.lineStart -= completeBytes;
    return bytes.subarray(0, completeBytes);
  }

  /** Discards the bytes of an incomplete event, at the end of a response that is given up. */
  discardPartial(): void {
    this.takeRemainder();
  }

  /** The bytes after the last complete event, at the end of a complete response. */
  takeRemainder(): Buffer {
    this.scannedBytes = 0;
    this.lineStart = 0;
    this.pendingId = null;
    return this.held.take();
  }
}
