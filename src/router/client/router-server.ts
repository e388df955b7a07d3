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
export interface MachineLimits {
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
  isDraining = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly picker: transactionContext.TransactionContext["picker"],
    private readonly isReady: () => boolean,
    private readonly recordSend: transactionContext.TransactionContext["recordSend"],
    machine: MachineLimits,
    private readonly batches: routerBatches.RouterBatches,
    private readonly tenantGate: tenantGate.TenantGate,
  ) {
    this.buffered = new requestBody.BufferedBytes(machine.memory_mb * 1024 * 1024 * BODY_MEMORY_FRACTION);
    this.pending = new pendingRequests.PendingRequests(clock, Math.floor(machine.memory_mb * PENDING_PER_MB));
    this.server = nodeHttp.createServer(
      {
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        maxHeaderSize: DEFAULT_LIMITS.max_header_bytes,
        requireHostHeader: false,
      },
      this.onRequest.bind(this),
    );
    this.server.on("clientError", clientError);
    this.server.on("connect", requestValidation.rejectConnect);
    this.server.maxConnections = Math.floor(machine.max_open_files * CLIENT_CONNECTION_FRACTION);
    this.applyLimits(undefined);
  }

  get activeCount(): number {
    return this.active.size + this.buffered.pendingBodies + this.pending.size;
  }

  applyLimits(limits: check.Limits | undefined): void {
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
  checkSilence(): void {
    const now = this.clock.now();
    for (const transaction of [...this.active]) transaction.checkSilence(now);
  }

  private reject(outgoing: nodeHttp.ServerResponse, status: number, message: string, retryAfterS: number | null, isLast: boolean): void {
    log.count(`router.reply_${status}`);
    localResponse.sendLocalResponse(outgoing, status, message, retryAfterS, isLast || this.isDraining);
  }

  private onRequest(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse): void {
    if (requestValidation.isClosing(incoming.socket)) return;
    log.count("router.requests");
    const fault = requestValidation.validate(incoming);
    if (fault) return this.reject(outgoing, fault.status, fault.message, null, true);
    const arrivedAt = this.clock.now();
    const length = Number(incoming.headers["content-length"] ?? 0);
    if (length > this.limits.max_body_bytes) return this.rejectTooLarge(outgoing);
    if (!this.buffered.hasCapacity(length)) {
      this.reject(outgoing, 503, "too many bodies are held; come back shortly", 0.5, true);
      return;
    }
    this.receiveBody(incoming, outgoing, arrivedAt);
  }

  private receiveBody(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse, arrivedAt: number): void {
    const entry = this.picker.routeTable?.find(incoming.headers.host ?? "", incoming.url ?? "/") ?? null;
    const timer = this.clock.schedule(routeRequest.timeBudgetMs(incoming, entry), this.rejectLateBody.bind(this, incoming, outgoing));
    outgoing.once("close", () => timer.stop());
    requestBody.readBody(incoming, this.limits.max_body_bytes, this.buffered, {
      onComplete: (body) => {
        timer.stop();
        if (!outgoing.headersSent) this.routeRequest(incoming, outgoing, arrivedAt, body);
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
    this.reject(outgoing, 408, "the deadline has passed before the body was whole; send it faster", null, true);
    outgoing.once("finish", () => incoming.destroy());
  }

  private rejectTooLarge(outgoing: nodeHttp.ServerResponse): void {
    this.reject(outgoing, 413, `the body is over max_body_bytes ${this.limits.max_body_bytes}; send a smaller one`, null, true);
  }

  private routeRequest(
    incoming: nodeHttp.IncomingMessage,
    outgoing: nodeHttp.ServerResponse,
    arrivedAt: number,
    body: Buffer | null,
  ): void {
    const { routeTable: table } = this.picker;
    if (!table || !this.isReady()) {
      this.deferUntilReady(incoming, outgoing, arrivedAt, body);
      return;
    }
    const entry = table.find(incoming.headers.host ?? "", incoming.url ?? "/");
    if (!entry) {
      this.reject(outgoing, 404, "no route has this host and path; see Config.Describe for the routes", null, false);
      return;
    }
    const requestId = routeRequest.requestIdOf(incoming);
    if (requestId === "") {
      this.reject(outgoing, 400, "X-Cranewind-Request-Id is missing; send one id a try", null, false);
      return;
    }
    const tenant = this.tenantGate.authenticate(incoming.headers[names.HEADER.key], entry.route);
    if (tenant && "status" in tenant) {
      this.reject(outgoing, tenant.status, tenant.cause, tenant.retryAfterS, false);
      return;
    }
    const isBatch = this.batches.isItem(incoming.headers[names.HEADER.batchPass]);
    if (!isBatch) this.batches.countArrival(entry.route.name);
    this.acquireQuota(routeRequest.buildRouteRequest(incoming, { requestId, entry, tenant, body, arrivedAt, isBatch }), incoming, outgoing);
  }

  private deferUntilReady(
    incoming: nodeHttp.IncomingMessage,
    outgoing: nodeHttp.ServerResponse,
    arrivedAt: number,
    body: Buffer | null,
  ): void {
    const entry = this.picker.routeTable?.find(incoming.headers.host ?? "", incoming.url ?? "/") ?? null;
    this.pending.add(outgoing, arrivedAt, routeRequest.timeBudgetMs(incoming, entry), {
      onReady: () => this.routeRequest(incoming, outgoing, arrivedAt, body),
      onTimeout: () => this.reject(outgoing, 503, "this node has no configuration yet; come back shortly", 0.3, true),
    });
  }

  /** The first configuration and list are here. */
  servePending(): void {
    this.pending.releaseAll();
  }

  /** Waits for a unit of the tenant's quota where there is a limit; a client that leaves meanwhile takes none. */
  private acquireQuota(request: routeRequest.RouteRequest, incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse): void {
    const { tenantGate: tenancy } = this;
    const claim = tenancy.acquireQuota(
      request.tenant,
      (admitted) => {
        if (outgoing.destroyed) tenancy.returnQuota(request.tenant, admitted);
        else this.startTransaction(request, incoming, outgoing, admitted);
      },
      (refusal) => this.reject(outgoing, refusal.status, refusal.cause, refusal.retryAfterS, false),
    );
    if (claim?.isWaiting) outgoing.once("close", claim.cancel.bind(claim));
  }

  private startTransaction(
    request: routeRequest.RouteRequest,
    incoming: nodeHttp.IncomingMessage,
    outgoing: nodeHttp.ServerResponse,
    admitted: tenantGate.QuotaUnit,
  ): void {
    const { clock: world, picker: chooser, active, buffered, recordSend: sending, tenantGate: tenancy } = this;
    const isLeaving = this.isGoing.bind(this);
    const bytes = request.body?.length ?? 0;
    const transaction = new requestTransaction.Transaction(
      { clock: world, picker: chooser, onFinished: finished, recordSend: sending, isDraining: isLeaving },
      request,
      incoming,
      outgoing,
    );
    buffered.bytes += bytes;
    active.add(transaction);
    transaction.start();
    function finished(): void {
      if (!active.delete(transaction)) return;
      buffered.bytes -= bytes;
      if (transaction.wasNeverSent) tenancy.returnQuota(request.tenant, admitted);
    }
  }

  private isGoing(): boolean {
    return this.isDraining;
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
