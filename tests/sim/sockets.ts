// Two ends of a connection in memory, for links: bytes arrive with the next turn of the event loop, unless held back.
import type * as net from "node:net";
import * as stream from "node:stream";

export class SimSocket extends stream.Duplex {
  readonly remoteAddress = "sim";
  peer: SimSocket | null = null;
  /** What was written and has not arrived; null while everything arrives at once. */
  heldBack: Buffer[] | null = null;

  setNoDelay(): this {
    return this;
  }

  override _read(): void {
    // The other end pushes.
  }

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    if (this.heldBack) this.heldBack.push(chunk);
    else this.peer?.push(chunk);
    done();
  }

  override _final(done: () => void): void {
    this.peer?.push(null);
    done();
  }

  override _destroy(cause: Error | null, done: (cause: Error | null) => void): void {
    const { peer } = this;
    this.peer = null;
    if (peer) setImmediate(() => peer.destroy());
    done(cause);
  }

  /** Bytes that the other end did not send, in between its own. */
  inject(bytes: Buffer): void {
    this.push(bytes);
  }

  /** What was held back arrives now, and everything after it at once. */
  release(): void {
    const held = this.heldBack ?? [];
    this.heldBack = null;
    for (const chunk of held) this.peer?.push(chunk);
  }
}

export function socketPair(): [SimSocket, SimSocket] {
  const [left, right] = [new SimSocket(), new SimSocket()];
  left.peer = right;
  right.peer = left;
  return [left, right];
}

/** As the links take them. */
export function asSocket(socket: SimSocket): net.Socket {
  return socket as unknown as net.Socket;
}
