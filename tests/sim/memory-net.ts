// Connections in memory, for histories that are played by the hundred thousand: streams in place of sockets, with
// ends, resets and writes to a closed peer as TCP shows them.
import * as stream from "node:stream";

/** What a test does with a socket, of memory or of the kernel. */
export interface TestSocket extends stream.Duplex {
  resetAndDestroy(): unknown;
}

function reset(): Error {
  return Object.assign(new Error("read ECONNRESET"), { code: "ECONNRESET" });
}

/** One end of a connection. Bytes, ends and resets reach the other end in order, one turn of the loop later. */
export class MemorySocket extends stream.Duplex implements TestSocket {
  private peer: MemorySocket | null = null;
  private hasEnded = false;
  /** As with a socket of the kernel: nobody's once it is over. */
  remoteAddress: string | undefined = "127.0.0.1";

  constructor(allowHalfOpen: boolean) {
    super({ allowHalfOpen });
  }

  /** The two ends of one connection: of who connects, and of who accepts. */
  static pair(): [MemorySocket, MemorySocket] {
    const [client, server] = [new MemorySocket(false), new MemorySocket(true)];
    client.peer = server;
    server.peer = client;
    return [client, server];
  }

  private deliver(run: (peer: MemorySocket) => void): void {
    const { peer } = this;
    if (peer) setImmediate(() => !peer.destroyed && run(peer));
  }

  override _read(): void {
    // The other end pushes.
  }

  override _write(chunk: Buffer, _encoding: string, done: (error?: Error) => void): void {
    if (this.peer?.destroyed) return done(reset());
    this.deliver((peer) => peer.push(Buffer.from(chunk)));
    done();
  }

  override _final(done: () => void): void {
    this.endOnce();
    done();
  }

  private endOnce(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.deliver((peer) => peer.push(null));
  }

  override _destroy(error: Error | null, done: (error: Error | null) => void): void {
    this.remoteAddress = undefined;
    this.endOnce();
    done(error);
  }

  resetAndDestroy(): this {
    this.hasEnded = true;
    this.deliver((peer) => peer.destroy(reset()));
    return this.destroy();
  }

  setNoDelay(): this {
    return this;
  }

  setKeepAlive(): this {
    return this;
  }

  setTimeout(): this {
    return this;
  }

  ref(): this {
    return this;
  }

  unref(): this {
    return this;
  }
}

type Accept = (socket: MemorySocket) => void;

const listeners = new Map<string, Accept>();
let lastPort = 0;

/** Takes connections at an address of its own until `close`. */
export function listen(accept: Accept): string {
  lastPort += 1;
  const address = `memory-${lastPort}:1`;
  listeners.set(address, accept);
  return address;
}

/** Nobody listens at the address any more. */
export function close(address: string): void {
  listeners.delete(address);
}

/** Null where nobody listens. */
export function connect(address: string): MemorySocket | null {
  const accept = listeners.get(address);
  if (!accept) return null;
  const [client, server] = MemorySocket.pair();
  setImmediate(() => accept(server));
  return client;
}
