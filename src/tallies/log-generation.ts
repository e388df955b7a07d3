/** One file of the tallies' log: a snapshot, and behind it the frames that were appended since (design/tallies 5). */
import * as files from "../store/files.js";
import type { TallyRecord } from "../wire/tally-schema.js";
import * as logFrame from "./log-frame.js";

/** Room is made ahead of need in steps of so many bytes, so that a disk that fills up still takes the next frames. */
export const RESERVE_STEP_BYTES = 1024 * 1024;

/** What a file holds. */
export interface GenerationContent {
  /** 0 where there is no whole snapshot. */
  generation: number;
  records: TallyRecord[];
  /** Length of the file. */
  capacity: number;
}

/** The whole frames of a file, as far as they are of one generation and without a gap. */
export async function readGeneration(file: files.StoreFile): Promise<GenerationContent> {
  const content = await file.read();
  const records: TallyRecord[] = [];
  const first = logFrame.decodeFrame(content, 0);
  let hasSnapshot = false;
  let at = 0;
  for (let next = first, index = 0; next && isNextFrame(next, first!, index); next = logFrame.decodeFrame(content, at), index += 1) {
    hasSnapshot ||= next.frame.endsSnapshot;
    for (const record of next.frame.records) records.push(record);
    at += next.bytes;
  }
  return { generation: hasSnapshot ? first!.generation : 0, records: hasSnapshot ? records : [], capacity: content.length };
}

function isNextFrame(frame: logFrame.FrameId, first: logFrame.FrameId, index: number): boolean {
  return frame.index === index && frame.generation === first.generation && frame.salt === first.salt;
}

/** Appends frames to a file; one call at a time. A frame that failed is written again at the same place. */
export class GenerationWriter {
  private index = 0;
  private end = 0;

  constructor(
    private readonly file: files.StoreFile,
    private readonly id: Omit<logFrame.FrameId, "index">,
    private reservedBytes: number,
  ) {}

  /** Bytes that the file has room for. */
  get capacity(): number {
    return this.reservedBytes;
  }

  /** Bytes of all frames so far. */
  get bytes(): number {
    return this.end;
  }

  /** Resolves once the frame is written; `sync` makes it durable. */
  async write(records: TallyRecord[], endsSnapshot: boolean): Promise<void> {
    const bytes = logFrame.encodeFrame({ ...this.id, index: this.index }, { endsSnapshot, records });
    await this.reserve(this.end + bytes.length);
    await files.writeFully(this.file, bytes, this.end);
    this.index += 1;
    this.end += bytes.length;
  }

  sync(): Promise<void> {
    return this.file.sync();
  }

  private async reserve(needed: number): Promise<void> {
    if (needed <= this.reservedBytes) return;
    const target = Math.ceil(needed / RESERVE_STEP_BYTES) * RESERVE_STEP_BYTES;
    await files.writeFully(this.file, Buffer.alloc(target - this.reservedBytes), this.reservedBytes);
    this.reservedBytes = target;
  }
}
