// Reads the bodies of requests whole, within a bound for one and a bound for all together (design 7.1).
import type * as nodeHttp from "node:http";

/** The bytes that all requests of this process hold, and the requests whose bodies are still on their way. */
export class BufferedBytes {
  bytes = 0;
  pendingBodies = 0;

  constructor(private readonly maxBytes: number) {}

  hasCapacity(more: number): boolean {
    return this.bytes + more <= this.maxBytes;
  }
}

/** Takes one body. */
export interface BodyHandler {
  /** Null for a request without a body. */
  onComplete(body: Buffer | null): void;
  /** The body is over its bound; nothing more of it is read. */
  onTooLarge(): void;
}

/** Exactly one of the taker's functions is called, once, or none when the client goes away before its body is whole. */
export function readBody(incoming: nodeHttp.IncomingMessage, maxBytes: number, buffered: BufferedBytes, taker: BodyHandler): void {
  const parts: Buffer[] = [];
  let bytes = 0;
  let isOver = false;
  buffered.pendingBodies += 1;
  incoming.on("data", more);
  incoming.on("end", whole);
  incoming.on("error", lost);
  incoming.on("close", lost);

  function more(chunk: Buffer): void {
    if (isOver) return;
    bytes += chunk.length;
    buffered.bytes += chunk.length;
    parts.push(chunk);
    if (bytes <= maxBytes) return;
    lost();
    taker.onTooLarge();
  }

  function whole(): void {
    if (isOver) return;
    lost();
    taker.onComplete(parts.length === 0 ? null : Buffer.concat(parts));
  }

  function lost(): void {
    if (isOver) return;
    isOver = true;
    buffered.pendingBodies -= 1;
    buffered.bytes -= bytes;
  }
}
