/** Splits a stream of server-sent events into complete ones, so that another runner can resume it after the last (design 7.9). */
const NEWLINE = 10;
const CARRIAGE_RETURN = 13;

/** Splits one stream; its bytes are pushed in order. */
export class EventSplitter {
  private buffered: Buffer = Buffer.alloc(0);
  /** The id of the last complete event that had one. */
  lastId: string | null = null;
  /** Complete events so far. */
  count = 0;

  /** The events that the chunk completes; the remainder is buffered. */
  push(chunk: Buffer): Buffer {
    const bytes = this.buffered.length > 0 ? Buffer.concat([this.buffered, chunk]) : chunk;
    let done = 0;
    let lineStart = 0;
    let id: string | null = null;
    for (let index = 0; index < bytes.length; index += 1) {
      if (bytes[index] !== NEWLINE) continue;
      const lineEnd = index > lineStart && bytes[index - 1] === CARRIAGE_RETURN ? index - 1 : index;
      if (lineEnd === lineStart) {
        if (id !== null) this.lastId = id;
        id = null;
        this.count += 1;
        done = index + 1;
      } else if (bytes[lineStart] === 0x69 && bytes.toString("latin1", lineStart, lineStart + 3) === "id:") {
        id = bytes.toString("latin1", lineStart + 3, lineEnd).trim();
      }
      lineStart = index + 1;
    }
    this.buffered = bytes.subarray(done);
    return bytes.subarray(0, done);
  }

  /** Discards the bytes of an incomplete event, at the end of a response that is given up. */
  discardPartial(): void {
    this.buffered = Buffer.alloc(0);
  }

  /** The bytes after the last complete event, at the end of a complete response. */
  takeRemainder(): Buffer {
    const remainder = this.buffered;
    this.buffered = Buffer.alloc(0);
    return remainder;
  }
}
