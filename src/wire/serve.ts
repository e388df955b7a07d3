// Small JSON servers of the control plane and the directory (design 6.2, 4.3).
import * as http from "node:http";
import * as errors from "../runtime/errors.js";
import * as log from "../runtime/log.js";
import type * as tree from "../supervisor/tree.js";
import * as httpConnections from "./http-connections.js";
import * as listen from "./listen.js";

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** A request, its body read whole. */
export interface HttpRequest {
  method: string;
  path: string;
  query: URLSearchParams;
  headers: http.IncomingHttpHeaders;
  body: Buffer;
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
  private isStopping = false;

  /** Listens at the address, where there is one; a body of more than `maxBodyBytes` is answered with 413. */
  constructor(
    readonly name: string,
    private readonly address: string | undefined,
    private readonly maxBodyBytes: number,
    private readonly reply: RequestHandler,
  ) {
    this.server = http.createServer(
      { keepAliveTimeout: 10_000, requestTimeout: 30_000, headersTimeout: 5000, connectionsCheckingInterval: 2000 },
      (request, response) => this.onRequest(request, response),
    );
    this.connections = new httpConnections.HttpConnections(this.server);
  }

  async start(): Promise<void> {
    if (this.address) await listen.listen(this.server, this.address);
  }

  private onRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.connections.beginExchange(request.socket, response, performance.now());
    handle(request, response, this.maxBodyBytes, this.reply).catch((cause: Error) => {
      log.count("serve.failed");
      log.state(`serve: ${cause.message}`);
      response.destroy();
    });
  }

  /** Accepts no more connections, and resolves when the calls under way are answered. A second call gives up what is left. */
  async stop(): Promise<void> {
    if (!this.isStopping) {
      this.isStopping = true;
      if (this.address) this.connections.stopAccepting();
      await this.connections.whenIdle();
      return;
    }
    const { openCount } = this.connections;
    if (openCount === 0) return;
    log.count("serve.cut_off", openCount);
    log.state(`${this.name}: ${openCount} calls are cut off by the end of the process`);
  }
}

async function handle(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  maxBytes: number,
  handler: RequestHandler,
): Promise<void> {
  const parts: Buffer[] = [];
  let receivedBytes = 0;
  for await (const chunk of request) {
    receivedBytes += (chunk as Buffer).length;
    if (receivedBytes > maxBytes) {
      send(response, { status: 413, json: { message: `body: it is over ${maxBytes} bytes; send a smaller one` } }, true);
      return;
    }
    parts.push(chunk as Buffer);
  }
  const url = new URL(request.url ?? "/", "http://node");
  const reply = await handler({
    method: request.method ?? "GET",
    path: url.pathname,
    query: url.searchParams,
    headers: request.headers,
    body: Buffer.concat(parts),
  });
  send(response, reply, false);
}

function send(response: http.ServerResponse, reply: HttpResponse, isLast: boolean): void {
  const body = Buffer.from(JSON.stringify(reply.json));
  const headers: Record<string, string | number> = { "Content-Type": "application/json", "Content-Length": body.length, ...reply.headers };
  if (isLast) headers["Connection"] = "close";
  response.writeHead(reply.status, headers);
  response.end(body);
}

/** A server of small bodies as a child of the supervisor; without an address it does not listen. */
export function child(name: string, address: string | undefined, reply: RequestHandler): JsonServer {
  return new JsonServer(name, address, MAX_BODY_BYTES, reply);
}
