/**
 * Collects bytes that arrive in pieces into one buffer. The memory held is that of the bytes, at most twice over, however
 * small the pieces: a buffer object a piece would take more than a hundred bytes for each (design/edge 7.14).
 */

const EMPTY = Buffer.alloc(0);
/** The smallest block that several pieces are copied into, in bytes. */
const MIN_BLOCK_BYTES = 1024;
/** What a piece that is kept as it came occupies beyond its bytes. */
const PIECE_OVERHEAD_BYTES = 160;

/** The bytes of one message. Used by one reader; appending is linear in the bytes, whatever their pieces. */
export class ByteCollector {
  private block: Buffer = EMPTY;
  /** The first piece is kept as it came: most messages consist of one. */
  private isSinglePiece = false;
  /** Bytes so far. */
  length = 0;

  /** `expectedBytes`: how long the message will be, where it says so; the memory held does not grow beyond it before the message does. */
  constructor(private readonly expectedBytes = Number.POSITIVE_INFINITY) {}

  /** Memory that is held now, in bytes. */
  get heldBytes(): number {
    return this.isSinglePiece ? this.block.length + PIECE_OVERHEAD_BYTES : this.block.length;
  }

  /** What would be held once `more` bytes were appended, in bytes. */
  heldBytesWith(more: number): number {
    if (more === 0) return this.heldBytes;
    if (this.length === 0) return more + PIECE_OVERHEAD_BYTES;
    const length = this.length + more;
    return !this.isSinglePiece && length <= this.block.length ? this.block.length : this.blockBytesFor(length);
  }

  private blockBytesFor(length: number): number {
    const doubled = Math.max(MIN_BLOCK_BYTES, 2 * this.block.length);
    return Math.max(length, Math.min(doubled, this.expectedBytes));
  }

  /** Appends a piece; it must not be changed afterwards. */
  append(piece: Buffer): void {
    if (piece.length === 0) return;
    if (this.length === 0) {
      this.block = piece;
      this.isSinglePiece = true;
      this.length = piece.length;
      return;
    }
    const length = this.length + piece.length;
    if (this.isSinglePiece || length > this.block.length) this.moveToBlock(this.blockBytesFor(length));
    piece.copy(this.block, this.length);
    this.length = length;
  }

  private moveToBlock(blockBytes: number): void {
    // Not from the pool of small buffers: a slice of it would keep all of the pool.
    const block = Buffer.allocUnsafeSlow(blockBytes);
    this.block.copy(block, 0, 0, this.length);
    this.block = block;
    this.isSinglePiece = false;
  }

  /** All bytes so far, without a copy; valid until the next change. */
  peek(): Buffer {
    return this.isSinglePiece ? this.block : this.block.subarray(0, this.length);
  }

  /** All bytes; the collector is empty afterwards. */
  take(): Buffer {
    const bytes = this.peek();
    this.clear();
    return bytes;
  }

  /** Drops all bytes. */
  clear(): void {
    this.block = EMPTY;
    this.isSinglePiece = false;
    this.length = 0;
  }
}
