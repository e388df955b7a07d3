// The answer to one client: its head, its body as it arrives from a runner, and its end (design 7.8, 7.9). An answer
// that is not whole never looks complete: its connection is destroyed, so nothing else is ever sent over it.
import type * as nodeHttp from "node:http";
import type * as responseHead from "../response-head.js";
import * as eventSplitter from "./event-splitter.js";
import * as headerRules from "../header-rules.js";
import * as localResponse from "./local-response.js";

/** One answer; begun at most once. */
export class ClientResponse {
  /** The head of a runner's answer was sent on; no other answer can take its place. */
  isHeadSent = false;
  private splitter: eventSplitter.EventSplitter | null = null;

  /** `isLeaving`: whether the answer is to be the last on its connection. */
  constructor(
    private readonly outgoing: nodeHttp.ServerResponse,
    private readonly isDraining: () => boolean,
  ) {}

  onClose(run: () => void): void {
    this.outgoing.once("close", run);
  }

  /** Sends on the head of a runner's answer. A resumable body is passed on in whole events. */
  sendHead(head: responseHead.ResponseHead, isResumable: boolean, onDrain: () => void): void {
    const raw = headerRules.buildResponseHeaders(head.raw, head.headers.get("connection"));
    if (this.isDraining()) raw.push("Connection", "close");
    if (isResumable) this.splitter = new eventSplitter.EventSplitter();
    this.outgoing.writeHead(head.status, raw);
    this.isHeadSent = true;
    this.outgoing.on("drain", onDrain);
  }

  /** Whether another runner may take the body up where it is. */
  get isResumable(): boolean {
    return this.splitter !== null;
  }

  /** The id of the last whole event that was passed on. */
  get lastEventId(): string | null {
    return this.splitter?.lastId ?? null;
  }

  /** False when the client reads slower than the runner sends. */
  write(chunk: Buffer): boolean {
    const bytes = this.splitter ? this.splitter.push(chunk) : chunk;
    return bytes.length === 0 || this.outgoing.write(bytes);
  }

  /** The runner's answer ends early: a part of an event that it left behind is not passed on. */
  discardPartialEvent(): void {
    this.splitter?.discardPartial();
  }

  /** The runner's answer is whole. */
  end(): void {
    const rest = this.splitter?.takeRemainder();
    this.outgoing.end(rest?.length ? rest : undefined);
  }

  /** An answer of the router's own, in place of a runner's. */
  sendLocal(status: number, message: string, retryAfterS: number | null): void {
    localResponse.sendLocalResponse(this.outgoing, status, message, retryAfterS, this.isDraining());
  }

  abort(): void {
    this.outgoing.destroy();
  }
}
