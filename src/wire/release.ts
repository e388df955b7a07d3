// The first bytes of a link tell the release of its frames' layout (design/edge 3.4). Their own layout never changes:
// four bytes of magic, then the release as u32, big-endian.
import type * as net from "node:net";
import * as errors from "../runtime/errors.js";
import * as log from "../runtime/log.js";
import * as schema from "./schema.js";
import type * as types from "./types.js";

/** The first bytes of every link. */
export const MAGIC = Buffer.from("CWLK", "latin1");
/** Length of what tells the release. */
export const PREAMBLE_BYTES = 8;
const KIND_AT = 4;
const LAST_KIND = 2;
/** How long a denied link stays half open, so that the other side can read why. */
const LINGER_MS = 1000;
const MAX_REMEMBERED_HOSTS = 256;

/** What was last logged of each host: its line is repeated only when it changes. */
const lastLogged = new Map<string, string>();

/** The bytes that tell this release. */
export function preamble(release: number): Buffer {
  const bytes = Buffer.alloc(PREAMBLE_BYTES);
  MAGIC.copy(bytes);
  bytes.writeUInt32BE(release, MAGIC.length);
  return bytes;
}

/** Builds before the first numbered release begin with a frame: a small length, then a kind. */
function isOldFrame(bytes: Buffer): boolean {
  return bytes[0] <= 1 && bytes[KIND_AT] <= LAST_KIND;
}

/** The start of one link, as this side hears it. */
export class ReleaseHandshake {
  isOver = false;
  private buffered: Buffer = Buffer.alloc(0);
  private readonly timer: types.Timer;
  private readonly host: string;

  /** `deny` ends the link, with the reason. */
  constructor(
    private readonly clock: types.Clock,
    private readonly socket: net.Socket,
    timeoutMs: number,
    private readonly deny: (cause: string) => void,
  ) {
    this.host = socket.remoteAddress ?? "an unknown host";
    this.timer = clock.schedule(timeoutMs, () => this.onTimeout());
    socket.write(preamble(schema.RELEASE));
  }

  /** What follows the preamble; null while it is not whole, or when the link was denied. */
  receive(chunk: Buffer): Buffer | null {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const length = Math.min(this.buffered.length, MAGIC.length);
    if (!this.buffered.subarray(0, length).equals(MAGIC.subarray(0, length))) {
      if (this.buffered.length > KIND_AT || this.buffered[0] > 1) this.rejectUnknownPeer();
      return null;
    }
    if (this.buffered.length < PREAMBLE_BYTES) return null;
    const release = this.buffered.readUInt32BE(MAGIC.length);
    if (release !== schema.RELEASE) {
      this.denyRelease(`release ${release}`);
      return null;
    }
    this.stop();
    lastLogged.delete(this.host);
    return this.buffered.subarray(PREAMBLE_BYTES);
  }

  private rejectUnknownPeer(): void {
    if (isOldFrame(this.buffered)) this.denyRelease("a build from before releases were told");
    else this.end("link.garbled", "the first bytes are no link's", "let nothing but cranewind nodes call this port");
  }

  private denyRelease(theirs: string): void {
    this.end(
      "link.other_release",
      `${this.host} speaks frames of ${theirs}, this process those of release ${schema.RELEASE}`,
      "run the same release on both ends",
    );
  }

  private onTimeout(): void {
    if (!this.isOver)
      this.end("link.no_preamble", `${this.host} told no release in time`, "see that it is a cranewind node and reachable both ways");
  }

  private end(counter: string, what: string, remedy: string): void {
    this.stop();
    const { message } = new errors.ConnectionError(what, remedy);
    log.count(counter);
    if (lastLogged.get(this.host) !== message) log.state(`link: denied: ${message}`);
    if (lastLogged.size >= MAX_REMEMBERED_HOSTS) lastLogged.clear();
    lastLogged.set(this.host, message);
    linger(this.clock, this.socket);
    this.deny(message);
  }

  /** The link ended, or its start is behind it. */
  stop(): void {
    this.isOver = true;
    this.timer.stop();
  }
}

/** Ends the own side and reads on for a moment: a reset would take the preamble from the other side. */
function linger(clock: types.Clock, socket: net.Socket): void {
  const timer = clock.schedule(LINGER_MS, () => socket.destroy());
  socket.once("close", () => timer.stop());
  socket.end();
}
