/** Buffers complete request bodies, within one limit for each and one for all together (design 7.1). */
import type * as nodeHttp from "node:http";

/** The memory that the request bodies of this process occupy. */
export class BufferedBytes {
  bytes = 0;
  /** Requests whose bodies are not complete. */
  pendingBodies = 0;

  constructor(private readonly maxBytes: number) {}

  hasCapacity(more: number): boolean {
    return this.bytes + more <= this.maxBytes;
  }
}

/** Is notified of the end of one body. */
export interface BodyHandler {
  /** Null for a request without a body. */
  onComplete(body: Buffer | null): void;
  /** The body is over its limit; nothing more of it is read. */
  onTooLarge(): void;
}

/**
 * Reads one body. Exactly one of the handler's functions is called, once, or none if the client goes away before. The
 * caller counts the bytes of a complete body from then on.
 */
export function readBody(incoming: nodeHttp.IncomingMessage, maxBytes: number, buffered: BufferedBytes, handler: BodyHandler): void {
  const parts: Buffer[] = [];
  let bytes = 0;
  let isOver = false;
  const stop = (): void => {
    if (isOver) return;
    isOver = true;
    buffered.pendingBodies -= 1;
    buffered.bytes -= bytes;
  };
  const onData = (chunk: Buffer): void => {
    if (isOver) return;
    bytes += chunk.length;
    buffered.bytes += chunk.length;
    parts.push(chunk);
    if (bytes <= maxBytes) return;
    stop();
    handler.onTooLarge();
  };
  const onEnd = (): void => {
    if (isOver) return;
    stop();
    handler.onComplete(parts.length === 0 ? null : Buffer.concat(parts));
  };
  buffered.pendingBodies += 1;
  incoming.on("data", onData);
  incoming.on("end", onEnd);
  incoming.on("error", stop);
  incoming.on("close", stop);
}
