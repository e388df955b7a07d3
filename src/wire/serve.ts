// Small JSON servers of the control plane and the directory (design 6.2, 4.3).
import * as http from "node:http";
import * as errors from "../runtime/errors.js";
import * as log from "../runtime/log.js";
import * as memoryBudget from "../runtime/memory-budget.js";
import type * as tree from "../supervisor/tree.js";
import * as arrivalTimes from "./arrival-times.js";
import * as httpConnections from "./http-connections.js";
import * as listen from "./listen.js";
import * as requestBody from "./request-body.js";
import * as requestTarget from "./request-target.js";
import type * as types from "./types.js";

const MAX_BODY_BYTES = 16 * 1024 * 1024;
/** How many of the largest bodies a server holds at once. */
const LARGEST_BODIES_AT_ONCE = 2;
/** A request that is not whole by then is refused, and so is one that waited so long before it was read. */
const REQUEST_TIMEOUT_MS = 30_000;

/** Who waits for the response to a request. */
export interface Caller {
  /** The longest time for which the request can have waited by now, in milliseconds, since its first byte arrived. */
  waitedMs(): number;
  /** Whether nobody waits any more: the response was sent, or the connection was closed. */
  hasLeft(): boolean;
}

/** The caller of a request that did not come over a connection; it always waits. */
export const LOCAL_CALLER: Caller = { waitedMs: () => 0, hasLeft: () => false };

/** A request, its body read whole. */
export interface HttpRequest {
  method: string;
  path: string;
  query: URLSearchParams;
  headers: http.IncomingHttpHeaders;
  body: Buffer;
  caller: Caller;
}

/** A response; json is its body. */
export interface HttpResponse {
  status: number;
  headers?: Record<string, string>;
  json: unknown;
}

const STATUS = new Map<errors.ErrorCode, number>([
  ["invalid", 400],
  ["race", 412],
  ["conflict", 409],
  ["forgotten", 503],
  ["too_large", 413],
  ["not_found", 404],
  ["usage", 400],
  ["full", 429],
  ["no_majority", 503],
  ["not_ready", 503],
  ["timeout", 503],
  ["expired", 503],
]);

/** The response that an error becomes: a 4xx for what a majority refused, 503 while nothing is decided. */
export function errorReply(error: errors.CranewindError): HttpResponse {
  const status = STATUS.get(error.code) ?? 500;
  const headers = status === 503 ? { "Retry-After": "0.3" } : undefined;
  return { status, headers, json: { message: error.message } };
}

/** Replies to one call; what it throws ends the connection. */
export type RequestHandler = (asked: HttpRequest) => Promise<HttpResponse> | HttpResponse;

/** One JSON server, as a child of the supervisor. */
export class JsonServer implements tree.Child {
  private readonly server: http.Server;
  private readonly connections: httpConnections.HttpConnections;
  private readonly arrivals: arrivalTimes.ArrivalTimes;
  private readonly bodyMemory: memoryBudget.MemoryBudget;
  private isStopping = false;

  /** Listens at the address, where there is one; a body of more than `maxBodyBytes` is answered with 413. */
  constructor(
    private readonly clock: types.Clock,
    readonly name: string,
    private readonly address: string | undefined,
    private readonly maxBodyBytes: number,
    private readonly reply: RequestHandler,
  ) {
    this.server = http.createServer(
      { keepAliveTimeout: 10_000, requestTimeout: REQUEST_TIMEOUT_MS, headersTimeout: 5000, connectionsCheckingInterval: 2000 },
      (request, response) => this.onRequest(request, response),
    );
    this.bodyMemory = new memoryBudget.MemoryBudget(LARGEST_BODIES_AT_ONCE * maxBodyBytes);
    this.connections = new httpConnections.HttpConnections(this.server);
    this.arrivals = new arrivalTimes.ArrivalTimes(clock, this.server);
  }

  async start(): Promise<void> {
    if (!this.address) return;
    await listen.listen(this.server, this.address);
    this.arrivals.start();
  }

  private onRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { socket } = request;
    response.once("close", () => this.arrivals.endRequest(socket));
    this.connections.beginExchange(socket, response, performance.now());
    this.handle(request, response).catch((cause: Error) => {
      log.count("serve.failed");
      log.state(`serve: ${cause.message}`);
      response.destroy();
    });
  }

  private async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const caller = this.callerOf(request, response);
    const target = requestTarget.parse(request.url ?? "/");
    if (!target) {
      send(response, { status: 400, json: { message: "the target of the request is no path; send one" } }, true);
      return;
    }
    const body = await this.readBody(request, response);
    if (!body) return;
    await untilSocketsAreRead();
    const waitedMs = caller.waitedMs();
    if (caller.hasLeft()) log.count("serve.caller_left");
    else if (waitedMs > REQUEST_TIMEOUT_MS) send(response, tooOld(waitedMs), true);
    else send(response, await this.reply({ ...target, method: request.method ?? "GET", headers: request.headers, body, caller }), false);
  }

  /** Null where it is refused: the response is sent before the rest is given up, with which the connection ends. */
  private readBody(request: http.IncomingMessage, response: http.ServerResponse): Promise<Buffer | null> {
    const { maxBodyBytes: maxBytes } = this;
    const memory = this.bodyMemory.open();
    response.once("close", () => memory.release());
    return new Promise((resolve) => {
      const onComplete = (body: Buffer | null): void => resolve(body ?? Buffer.alloc(0));
      const onRefused = (cause: requestBody.BodyRefusal): void => {
        log.count(`serve.body_${cause}`);
        const { status, message, retryAfterS } = requestBody.describeRefusal(cause, `${maxBytes} bytes`);
        const headers = retryAfterS === null ? undefined : { "Retry-After": String(retryAfterS) };
        if (cause === "fragmented") httpConnections.endAtOnce(request.socket, response);
        send(response, { status, headers, json: { message } }, true);
        resolve(null);
      };
      requestBody.receiveBody(request, { maxBytes, memory }, { onComplete, onRefused });
    });
  }

  private callerOf({ socket }: http.IncomingMessage, response: http.ServerResponse): Caller {
    const arrivedAt = this.arrivals.arrivedAt(socket);
    return {
      waitedMs: () => this.clock.now() - arrivedAt,
      hasLeft: () => response.writableEnded || socket.destroyed || socket.readableEnded,
    };
  }

  /** Accepts no more connections, and resolves when the calls under way are answered. A second call gives up what is left. */
  async stop(): Promise<void> {
    if (!this.isStopping) {
      this.isStopping = true;
      if (this.address) this.connections.stopAccepting();
      await this.connections.whenIdle();
      this.arrivals.stop();
      return;
    }
    this.arrivals.stop();
    const { openCount } = this.connections;
    if (openCount === 0) return;
    log.count("serve.cut_off", openCount);
    log.state(`${this.name}: ${openCount} calls are cut off by the end of the process`);
  }
}

/** Resolves once the event loop has read its sockets again: the end of a connection is read after its last bytes. */
async function untilSocketsAreRead(): Promise<void> {
  await nextTurn();
  await nextTurn();
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function tooOld(waitedMs: number): HttpResponse {
  const message = `the call may have waited for ${Math.round(waitedMs)} ms before it was read, and was not carried out`;
  return errorReply(new errors.ExpiredOrderError(message, "send it again if it still holds"));
}

function send(response: http.ServerResponse, reply: HttpResponse, isLast: boolean): void {
  const body = Buffer.from(JSON.stringify(reply.json));
  const headers: Record<string, string | number> = { "Content-Type": "application/json", "Content-Length": body.length, ...reply.headers };
  if (isLast) headers["Connection"] = "close";
  response.writeHead(reply.status, headers);
  response.end(body);
}

/** A server of small bodies as a child of the supervisor; without an address it does not listen. */
export function child(clock: types.Clock, name: string, address: string | undefined, reply: RequestHandler): JsonServer {
  return new JsonServer(clock, name, address, MAX_BODY_BYTES, reply);
}
