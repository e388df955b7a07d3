// Cuts a stream of events into whole ones, so that a run can be taken up elsewhere after the last (design 7.9).
const NEWLINE = 10;
const CARRIAGE_RETURN = 13;

/** Cuts one stream; fed with its bytes in order. */
export class EventSplitter {
  private buffered: Buffer = Buffer.alloc(0);
  lastId: string | null = null;
  count = 0;

  /** The whole events that the chunk completes; the rest is held back. */
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

  /** Bytes that belong to no whole event: a run that is given up leaves them behind. */
  discardPartial(): void {
    this.buffered = Buffer.alloc(0);
  }

  takeRemainder(): Buffer {
    const rest = this.buffered;
    this.buffered = Buffer.alloc(0);
    return rest;
  }
}
