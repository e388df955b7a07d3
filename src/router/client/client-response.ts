/**
 * The response to one client: its head, its body as it arrives from a runner, and its end (design 7.8, 7.9). An incomplete
 * response never looks complete: its connection is destroyed, so that nothing else is ever sent over it.
 */
import type * as nodeHttp from "node:http";
import type * as responseHead from "../response-head.js";
import * as eventSplitter from "./event-splitter.js";
import * as headerRules from "../header-rules.js";
import * as localResponse from "./local-response.js";

/** One response; begun at most once. */
export class ClientResponse {
  /** The head of a runner's response was forwarded; no other response can take its place. */
  isHeadSent = false;
  private splitter: eventSplitter.EventSplitter | null = null;

  /** `isLeaving`: whether the response is to be the last on its connection. */
  constructor(
    private readonly outgoing: nodeHttp.ServerResponse,
    private readonly isDraining: () => boolean,
  ) {}

  /** Calls back once, when the response is complete or the client is gone. */
  onClose(run: () => void): void {
    this.outgoing.once("close", run);
  }

  /** Forwards the head of a runner's response. A resumable body is forwarded in complete events. */
  sendHead(head: responseHead.ResponseHead, isResumable: boolean, onDrain: () => void): void {
    const raw = headerRules.buildResponseHeaders(head.raw, head.headers.get("connection"));
    if (this.isDraining()) raw.push("Connection", "close");
    if (isResumable) this.splitter = new eventSplitter.EventSplitter();
    this.outgoing.writeHead(head.status, raw);
    this.isHeadSent = true;
    this.outgoing.on("drain", onDrain);
  }

  /** Whether another runner may resume the body where it is. */
  get isResumable(): boolean {
    return this.splitter !== null && !this.splitter.isPassingThrough;
  }

  /** The id of the last complete event that was forwarded. */
  get lastEventId(): string | null {
    return this.splitter?.lastId ?? null;
  }

  /** Forwards bytes of the body; returns false if the client reads slower than the runner sends. */
  write(chunk: Buffer): boolean {
    const bytes = this.splitter ? this.splitter.push(chunk) : chunk;
    return bytes.length === 0 || this.outgoing.write(bytes);
  }

  /** The runner's response was interrupted: an incomplete event at its end is not forwarded. */
  discardPartialEvent(): void {
    this.splitter?.discardPartial();
  }

  /** The runner's response is complete. */
  end(): void {
    const remainder = this.splitter?.takeRemainder();
    this.outgoing.end(remainder?.length ? remainder : undefined);
  }

  /** A response of the router's own, in place of a runner's. */
  sendLocal(status: number, message: string, retryAfterS: number | null): void {
    localResponse.sendLocalResponse(this.outgoing, status, message, retryAfterS, this.isDraining());
  }

  /** Ends an incomplete response together with its connection. */
  abort(): void {
    this.outgoing.destroy();
  }
}
