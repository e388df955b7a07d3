/** Receives request bodies, within one limit for each and one memory budget for all together (design 7.1, design/edge 7.14). */
import type * as nodeHttp from "node:http";
import type * as memoryBudget from "../runtime/memory-budget.js";
import * as byteCollector from "./byte-collector.js";

/**
 * Pieces of a body beyond one for each `MIN_MEAN_PIECE_BYTES`: a chunk of one byte costs the parser as much as one of thousands, and
 * with these alone a single connection could keep the process busy.
 */
const MAX_SMALL_PIECES = 4096;
const MIN_MEAN_PIECE_BYTES = 8;

/** Why a body is given up before it is complete: over its limit, in too many pieces, or out of memory of the budget. */
export type BodyRefusal = "too_large" | "fragmented" | "no_memory";

/** The response to a refused body; `retryAfterS` in seconds, null where the same body is refused again. */
export interface RefusedBody {
  status: 413 | 503;
  message: string;
  retryAfterS: number | null;
}

/** Bodies that are held now are handed on or given up meanwhile; in seconds. */
const MEMORY_RETRY_S = 0.5;

/** `limit`: the limit of one body, as the message names it. */
export function describeRefusal(cause: BodyRefusal, limit: string): RefusedBody {
  switch (cause) {
    case "too_large":
      return { status: 413, message: `the body is over ${limit}; send a smaller one`, retryAfterS: null };
    case "fragmented":
      return { status: 413, message: "the body comes in too many small pieces; send larger chunks", retryAfterS: null };
    case "no_memory":
      return { status: 503, message: "too many bodies are held; come back shortly", retryAfterS: MEMORY_RETRY_S };
  }
}

/** Is notified of the end of one body. */
export interface BodyHandler {
  /** Null for a request without a body. */
  onComplete(body: Buffer | null): void;
  /** Nothing more of the body is kept. */
  onRefused(cause: BodyRefusal): void;
}

/** What one body may take. */
export interface BodyLimits {
  /** Bytes of the body. */
  maxBytes: number;
  /** The body's share of the budget of all bodies. It stays as large as the complete body until its owner releases it. */
  memory: memoryBudget.MemoryShare;
}

/** Exactly one of the handler's functions is called, once, or none if the client goes away before. */
export function receiveBody(incoming: nodeHttp.IncomingMessage, limits: BodyLimits, handler: BodyHandler): void {
  const { maxBytes, memory } = limits;
  const declaredBytes = Number(incoming.headers["content-length"] ?? maxBytes);
  const body = new byteCollector.ByteCollector(Math.min(declaredBytes, maxBytes));
  let pieces = 0;
  let isOver = false;
  const giveUp = (): void => {
    if (isOver) return;
    isOver = true;
    body.clear();
    memory.release();
  };
  const refusalOf = (piece: Buffer): BodyRefusal | null => {
    const length = body.length + piece.length;
    if (length > maxBytes) return "too_large";
    if (pieces > MAX_SMALL_PIECES + length / MIN_MEAN_PIECE_BYTES) return "fragmented";
    return memory.resize(body.heldBytesWith(piece.length)) ? null : "no_memory";
  };
  incoming.on("data", (piece: Buffer) => {
    if (isOver) return;
    pieces += 1;
    const refusal = refusalOf(piece);
    if (refusal === null) {
      body.append(piece);
      return;
    }
    giveUp();
    handler.onRefused(refusal);
  });
  incoming.on("end", () => {
    if (isOver) return;
    isOver = true;
    handler.onComplete(body.length === 0 ? null : body.take());
  });
  incoming.on("error", giveUp);
  incoming.on("close", giveUp);
}
