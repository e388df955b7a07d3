/**
 * A link between two of the system's own processes (design 3.1): one TCP connection with framed one-way messages, calls and
 * replies. Whoever holds it sends heartbeats and ends it when nothing arrived for `LINK_TIMEOUT_MS`.
 */
import * as events from "node:events";
import * as net from "node:net";
import * as byteCollector from "./byte-collector.js";
import * as calls from "./calls.js";
import * as release from "./release.js";
import * as counts from "./counts.js";
import * as types from "./types.js";
import * as errors from "../runtime/errors.js";
import * as log from "../runtime/log.js";

const HEADER_BYTES = 10; // length u32, kind u8, code u8, call id u32
/** Bound on the body of a frame, in bytes. */
export const MAX_FRAME_BYTES = 24 * 1024 * 1024;
/** Interval of the heartbeats that each side sends. */
export const HEARTBEAT_INTERVAL_MS = 300;
/** A link that was silent for so long is ended. */
export const LINK_TIMEOUT_MS = 1800;
/** While both sides and the way between them are well, no silence is longer than this. */
const USUAL_SILENCE_MS = 2 * HEARTBEAT_INTERVAL_MS;
/** What came during a longer silence is read within this time of its end. */
const CATCH_UP_MS = 250;

const ONE_WAY = 0;
const CALL = 1;
const REPLY = 2;

type Handler = (link: Link, request: never) => unknown;

/** The one table of what a process replies to (design 3.3). */
export class Handlers {
  private readonly table = new Map<number, Handler>();
  /** Sets the handler of a call; null is no reply. */
  on<Ask, Reply>(call: calls.Call<Ask, Reply>, run: (link: Link, request: Ask) => Promise<Reply | null> | Reply | null): void {
    this.table.set(call.code, run);
  }
  get(code: number): Handler | undefined {
    return this.table.get(code);
  }
}

interface PendingCall {
  call: calls.Call<unknown, unknown>;
  /** On the own clock: a reply that is read later does not count, also where the timer has not run yet. */
  deadline: number;
  resolve(reply: unknown): void;
  timer: types.Timer;
}

/** `end`: it is over, for this cause. */
export interface LinkEvents {
  end: [cause: string];
}

/** One connection between two own processes. */
export class Link extends events.EventEmitter<LinkEvents> {
  private readonly pendingCalls = new Map<number, PendingCall>();
  private readonly buffered = new byteCollector.ByteCollector();
  private neededBytes = HEADER_BYTES;
  private lastCallId: number;
  private readonly opening: release.ReleaseHandshake;
  lastReceivedAt: types.SteadyMs;
  /** The newest silence that was longer than usual; `until`: what was read first after it. */
  private silence = { from: Number.NEGATIVE_INFINITY, until: Number.NEGATIVE_INFINITY };
  isOpen = true;

  /** `firstCallId`: of the calls from this side; any will do, since the ids of the two sides are apart. */
  constructor(
    private readonly clock: types.Clock,
    readonly socket: net.Socket,
    private readonly handlers: Handlers,
    firstCallId = 1,
  ) {
    super();
    this.lastCallId = (firstCallId - 1) >>> 0;
    this.lastReceivedAt = clock.now();
    socket.setNoDelay(true);
    this.opening = new release.ReleaseHandshake(clock, socket, LINK_TIMEOUT_MS, (cause) => this.close(cause));
    socket.on("data", (bytes) => this.read(bytes));
    socket.on("error", (cause) => this.end(cause.message));
    socket.on("close", () => this.end("closed"));
  }

  /** Closes the connection; pending calls resolve with null. */
  end(cause: string): void {
    if (this.isOpen) this.socket.destroy();
    this.close(cause);
  }

  private close(cause: string): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.opening.stop();
    for (const item of this.pendingCalls.values()) {
      item.timer.stop();
      item.resolve(null);
    }
    this.pendingCalls.clear();
    this.emit("end", cause);
  }

  /** Milliseconds since the last byte arrived. */
  idleMs(): number {
    return this.clock.now() - this.lastReceivedAt;
  }

  /**
   * By how many milliseconds a message that is read now may be older than the way takes: this process, or the way, may have stood
   * still while it was there. 0 where nothing says so.
   */
  latenessMs(): number {
    const now = this.clock.now();
    return now - this.silence.until <= CATCH_UP_MS ? now - this.silence.from : 0;
  }

  private writeFrame(kind: number, code: number, id: number, body: Buffer): void {
    if (!this.isOpen) return;
    const head = Buffer.allocUnsafe(HEADER_BYTES);
    head.writeUInt32BE(body.length, 0);
    head.writeUInt8(kind, 4);
    head.writeUInt8(code, 5);
    head.writeUInt32BE(id, 6);
    if (this.socket.writableLength > MAX_FRAME_BYTES) {
      this.end("the other side does not read");
      return;
    }
    counts.recordSent(code, body.length);
    this.socket.write(Buffer.concat([head, body]));
  }

  /** Sends one way: no reply comes back. */
  send<Ask, Reply>(call: calls.Call<Ask, Reply>, request: Ask): void {
    this.writeFrame(ONE_WAY, call.code, 0, call.request.toBuffer(request));
  }

  /** Resolves with null when no reply came in time or the link ended: whether the call was handled is not known then. */
  call<Ask, Reply>(call: calls.Call<Ask, Reply>, request: Ask, timeoutMs: number): Promise<Reply | null> {
    if (!this.isOpen) return Promise.resolve(null);
    return new Promise((resolve) => {
      const body = call.request.toBuffer(request);
      const id = this.nextCallId();
      const timer = this.clock.schedule(timeoutMs, () => {
        this.pendingCalls.delete(id);
        resolve(null);
      });
      this.pendingCalls.set(id, { call, resolve, timer, deadline: this.clock.now() + timeoutMs });
      this.writeFrame(CALL, call.code, id, body);
    });
  }

  /** An id that no pending call of this link has; ids wrap after 2^32 calls. */
  private nextCallId(): number {
    do {
      this.lastCallId = (this.lastCallId + 1) >>> 0;
    } while (this.pendingCalls.has(this.lastCallId));
    return this.lastCallId;
  }

  private read(bytes: Buffer): void {
    if (!this.isOpen) return;
    this.recordReceipt();
    const chunk = this.opening.isOver ? bytes : this.opening.receive(bytes);
    if (chunk) this.readFrames(chunk);
  }

  private recordReceipt(): void {
    const now = this.clock.now();
    if (now - this.lastReceivedAt > USUAL_SILENCE_MS) this.silence = { from: this.lastReceivedAt, until: now };
    this.lastReceivedAt = now;
  }

  private readFrames(chunk: Buffer): void {
    this.buffered.append(chunk);
    if (this.buffered.length < this.neededBytes) return;
    let bytes = this.buffered.take();
    while (this.isOpen && bytes.length >= HEADER_BYTES) {
      const length = bytes.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) {
        this.rejectFrame("a frame too long");
        return;
      }
      if (bytes.length < HEADER_BYTES + length) break;
      this.receiveFrame(bytes.readUInt8(4), bytes.readUInt8(5), bytes.readUInt32BE(6), bytes.subarray(HEADER_BYTES, HEADER_BYTES + length));
      bytes = bytes.subarray(HEADER_BYTES + length);
    }
    this.buffered.append(bytes);
    this.neededBytes = bytes.length >= HEADER_BYTES ? HEADER_BYTES + bytes.readUInt32BE(0) : HEADER_BYTES;
  }

  private rejectFrame(what: string): void {
    log.count("link.garbled");
    this.end(new errors.ConnectionError(what, "run the same release on both ends").message);
  }

  private receiveFrame(kind: number, code: number, id: number, body: Buffer): void {
    const call = calls.byCode(code);
    if (!call || kind > REPLY) {
      this.rejectFrame(`unknown frame ${kind}/${code}`);
      return;
    }
    counts.recordReceived(code, body.length);
    try {
      if (kind === REPLY) this.resolveCall(call, id, body);
      else void this.runHandler(call, kind, id, call.request.fromBuffer(body));
    } catch {
      this.rejectFrame(`unreadable ${call.name}`);
    }
  }

  /**
   * A reply whose call was given up, or that was there already, is dropped. A reply of another kind than its call, or
   * one that can't be read, ends the link, and with it the call, which still waits.
   */
  private resolveCall(call: calls.Call<unknown, unknown>, id: number, body: Buffer): void {
    const item = this.pendingCalls.get(id);
    if (!item) {
      log.count("link.late_reply");
      return;
    }
    if (item.call.code !== call.code) {
      this.rejectFrame(`a reply of ${call.name} to a call of ${item.call.name}`);
      return;
    }
    const reply = call.reply.fromBuffer(body);
    this.pendingCalls.delete(id);
    item.timer.stop();
    const isLate = this.clock.now() >= item.deadline;
    if (isLate) log.count("link.late_reply");
    item.resolve(isLate ? null : reply);
  }

  private async runHandler(call: calls.Call<unknown, unknown>, kind: number, id: number, request: unknown): Promise<void> {
    const run = this.handlers.get(call.code);
    if (!run) return;
    try {
      const reply = await run(this, request as never);
      if (kind !== CALL || reply === null) return;
      if (!this.isOpen) log.count("link.reply_dropped");
      this.writeFrame(REPLY, call.code, id, call.reply.toBuffer(reply));
    } catch (cause) {
      log.count("link.handler_failed");
      log.state(`${call.name} failed: ${errors.messageOf(cause)}`);
    }
  }
}

/** Opens a connection; resolves with null where none came up in time. */
export function connect(clock: types.Clock, address: string, handlers: Handlers, timeoutMs: number): Promise<Link | null> {
  log.count("link.dials");
  return new Promise((resolve) => {
    const socket = net.connect({ host: types.hostOf(address), port: types.portOf(address) });
    const timer = clock.schedule(timeoutMs, () => {
      socket.destroy();
      resolve(null);
    });
    function onError(): void {
      timer.stop();
      resolve(null);
    }
    socket.once("error", onError);
    socket.once("connect", () => {
      timer.stop();
      socket.removeListener("error", onError);
      resolve(new Link(clock, socket, handlers));
    });
  });
}
