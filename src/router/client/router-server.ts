// Where clients arrive (design 7.1): reads whole requests within the limits and starts their transactions.
import * as nodeHttp from "node:http";
import type * as net from "node:net";
import type * as check from "../../config/check.js";
import * as log from "../../runtime/log.js";
import * as listen from "../../wire/listen.js";
import * as types from "../../wire/types.js";
import * as names from "../../wire/names.js";
import type * as routerBatches from "../router-batches.js";
import * as requestBody from "./request-body.js";
import type * as transactionContext from "../transaction-context.js";
import * as pendingRequests from "./pending-requests.js";
import * as requestValidation from "./request-validation.js";
import * as localResponse from "./local-response.js";
import * as routeRequest from "../route-request.js";
import type * as tenantGate from "../tenant-gate.js";
import * as requestTransaction from "../request-transaction.js";

const DEFAULT_LIMITS: Required<check.Limits> = {
  max_header_bytes: 16384,
  max_body_bytes: 4 * 1024 * 1024,
  header_timeout_ms: 5000,
  idle_timeout_ms: 15000,
};
/** What of the machine's limits goes where (design 2.3). */
const BODY_MEMORY_FRACTION = 0.15;
const PENDING_PER_MB = 1.5;
const CLIENT_CONNECTION_FRACTION = 0.5;
const CONNECTION_CHECK_INTERVAL_MS = 1000;

/** The machine's limits. */
export interface Machine {
  memory_mb: number;
  max_open_files: number;
}

/** The frontend of one router. */
export class RouterServer {
  private readonly server: nodeHttp.Server;
  private readonly active = new Set<requestTransaction.Transaction>();
  private readonly pending: pendingRequests.PendingRequests;
  private limits = DEFAULT_LIMITS;
  private readonly buffered: requestBody.BufferedBytes;
  isLeaving = false;

  constructor(
    private readonly world: types.Clock,
    private readonly chooser: transactionContext.TransactionContext["chooser"],
    private readonly isReady: () => boolean,
    private readonly sending: transactionContext.TransactionContext["sending"],
    machine: Machine,
    private readonly batches: routerBatches.RouterBatches,
    private readonly tenancy: tenantGate.TenantGate,
  ) {
    this.buffered = new requestBody.BufferedBytes(machine.memory_mb * 1024 * 1024 * BODY_MEMORY_FRACTION);
    this.pending = new pendingRequests.PendingRequests(world, Math.floor(machine.memory_mb * PENDING_PER_MB));
    this.server = nodeHttp.createServer(
      { connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS, maxHeaderSize: DEFAULT_LIMITS.max_header_bytes, requireHostHeader: false },
      this.take.bind(this),
    );
    this.server.on("clientError", clientError);
    this.server.on("connect", requestValidation.rejectConnect);
    this.server.maxConnections = Math.floor(machine.max_open_files * CLIENT_CONNECTION_FRACTION);
    this.limit(undefined);
  }

  get activeCount(): number {
    return this.active.size + this.buffered.reading + this.pending.size;
  }

  limit(limits: check.Limits | undefined): void {
    this.limits = { ...DEFAULT_LIMITS, ...limits };
    const server = this.server as nodeHttp.Server & { maxHeaderSize?: number };
    server.maxHeaderSize = this.limits.max_header_bytes;
    server.headersTimeout = this.limits.header_timeout_ms;
    server.requestTimeout = this.limits.header_timeout_ms + this.limits.idle_timeout_ms;
    server.keepAliveTimeout = this.limits.idle_timeout_ms;
  }

  listen(address: string): Promise<void> {
    return listen.listen(this.server, address);
  }

  /** The port in use, also when 0 was asked for. */
  get port(): number {
    return types.portOf(listen.bound(this.server));
  }

  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Requests whose runner fell silent are looked at a few times a second. */
  watch(): void {
    const now = this.world.now();
    for (const transaction of [...this.active]) transaction.watch(now);
  }

  private deny(outgoing: nodeHttp.ServerResponse, status: number, message: string, retryAfterS: number | null, isLast: boolean): void {
    log.count(`router.reply_${status}`);
    localResponse.sendLocalResponse(outgoing, status, message, retryAfterS, isLast || this.isLeaving);
  }

  private take(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse): void {
    if (requestValidation.isClosing(incoming.socket)) return;
    log.count("router.requests");
    const fault = requestValidation.validate(incoming);
    if (fault) return this.deny(outgoing, fault.status, fault.message, null, true);
    const arrivedAt = this.world.now();
    const length = Number(incoming.headers["content-length"] ?? 0);
    if (length > this.limits.max_body_bytes) return this.rejectTooLarge(outgoing);
    if (!this.buffered.hasRoom(length)) {
      this.deny(outgoing, 503, "too many bodies are held; come back shortly", 0.5, true);
      return;
    }
    this.read(incoming, outgoing, arrivedAt);
  }

  private read(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse, arrivedAt: number): void {
    const entry = this.chooser.table?.find(incoming.headers.host ?? "", incoming.url ?? "/") ?? null;
    const timer = this.world.schedule(routeRequest.mostHeldMs(incoming, entry), this.rejectLateBody.bind(this, incoming, outgoing));
    outgoing.once("close", () => timer.stop());
    requestBody.readBody(incoming, this.limits.max_body_bytes, this.buffered, {
      onComplete: (body) => {
        timer.stop();
        if (!outgoing.headersSent) this.begin(incoming, outgoing, arrivedAt, body);
      },
      onTooLarge: () => {
        timer.stop();
        this.rejectTooLarge(outgoing);
      },
    });
  }

  /** The body is not whole when the request's time is over: nothing was sent on, and its connection ends. */
  private rejectLateBody(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse): void {
    log.count("router.body_late");
    this.deny(outgoing, 408, "the deadline has passed before the body was whole; send it faster", null, true);
    outgoing.once("finish", () => incoming.destroy());
  }

  private rejectTooLarge(outgoing: nodeHttp.ServerResponse): void {
    this.deny(outgoing, 413, `the body is over max_body_bytes ${this.limits.max_body_bytes}; send a smaller one`, null, true);
  }

  private begin(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse, arrivedAt: number, body: Buffer | null): void {
    const { table } = this.chooser;
    if (!table || !this.isReady()) {
      this.wait(incoming, outgoing, arrivedAt, body);
      return;
    }
    const entry = table.find(incoming.headers.host ?? "", incoming.url ?? "/");
    if (!entry) {
      this.deny(outgoing, 404, "no route has this host and path; see Config.Describe for the routes", null, false);
      return;
    }
    const requestId = routeRequest.idOf(incoming);
    if (requestId === "") {
      this.deny(outgoing, 400, "X-Cranewind-Request-Id is missing; send one id a try", null, false);
      return;
    }
    const tenant = this.tenancy.identify(incoming.headers[names.HEADER.key], entry.route);
    if (tenant && "status" in tenant) {
      this.deny(outgoing, tenant.status, tenant.cause, tenant.retryAfterS, false);
      return;
    }
    const isBatch = this.batches.isItem(incoming.headers[names.HEADER.batchPass]);
    if (!isBatch) this.batches.countArrival(entry.route.name);
    this.admit(routeRequest.requestOf(incoming, { requestId, entry, tenant, body, arrivedAt, isBatch }), incoming, outgoing);
  }

  private wait(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse, arrivedAt: number, body: Buffer | null): void {
    const entry = this.chooser.table?.find(incoming.headers.host ?? "", incoming.url ?? "/") ?? null;
    this.pending.add(outgoing, arrivedAt, routeRequest.mostHeldMs(incoming, entry), {
      onReady: () => this.begin(incoming, outgoing, arrivedAt, body),
      onTimeout: () => this.deny(outgoing, 503, "this node has no configuration yet; come back shortly", 0.3, true),
    });
  }

  /** The first configuration and list are here. */
  takePending(): void {
    this.pending.releaseAll();
  }

  /** Waits for a unit of the tenant's quota where there is a limit; a client that leaves meanwhile takes none. */
  private admit(request: routeRequest.RouteRequest, incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse): void {
    const { tenancy } = this;
    const claim = tenancy.admit(
      request.tenant,
      (admitted) => {
        if (outgoing.destroyed) tenancy.giveBack(request.tenant, admitted);
        else this.run(request, incoming, outgoing, admitted);
      },
      (refusal) => this.deny(outgoing, refusal.status, refusal.cause, refusal.retryAfterS, false),
    );
    if (claim?.isWaiting) outgoing.once("close", claim.cancel.bind(claim));
  }

  private run(
    request: routeRequest.RouteRequest,
    incoming: nodeHttp.IncomingMessage,
    outgoing: nodeHttp.ServerResponse,
    admitted: tenantGate.Admitted,
  ): void {
    const { world, chooser, active, buffered, sending, tenancy } = this;
    const isLeaving = this.isGoing.bind(this);
    const bytes = request.body?.length ?? 0;
    const transaction = new requestTransaction.Transaction({ world, chooser, finished, sending, isLeaving }, request, incoming, outgoing);
    buffered.bytes += bytes;
    active.add(transaction);
    transaction.start();
    function finished(): void {
      if (!active.delete(transaction)) return;
      buffered.bytes -= bytes;
      if (transaction.isUnsent) tenancy.giveBack(request.tenant, admitted);
    }
  }

  private isGoing(): boolean {
    return this.isLeaving;
  }
}

const STATUS_BY_PARSER_ERROR = new Map<string, string>([
  ["HPE_HEADER_OVERFLOW", "431 Request Header Fields Too Large"],
  ["ERR_HTTP_REQUEST_TIMEOUT", "408 Request Timeout"],
]);

/** What is no proper request reaches no runner; the connection ends with the reply. */
function clientError(cause: NodeJS.ErrnoException, socket: net.Socket): void {
  if (cause.code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  if (requestValidation.keepPendingResponse(socket)) return;
  const status = STATUS_BY_PARSER_ERROR.get(cause.code ?? "") ?? "400 Bad Request";
  log.count(`router.reply_${status.slice(0, 3)}`);
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}
