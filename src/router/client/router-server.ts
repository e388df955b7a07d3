/** The router's HTTP server for clients (design 7.1): receives complete requests within the limits and starts their transactions. */
import * as nodeHttp from "node:http";
import type * as net from "node:net";
import type * as configurationCheck from "../../config/configuration-check.js";
import type * as routeTable from "../../config/route-table.js";
import * as promptParts from "../../routing/prompt-parts.js";
import * as log from "../../runtime/log.js";
import * as memoryBudget from "../../runtime/memory-budget.js";
import * as httpConnections from "../../wire/http-connections.js";
import * as listen from "../../wire/listen.js";
import * as types from "../../wire/types.js";
import * as names from "../../wire/names.js";
import type * as routerBatches from "../router-batches.js";
import type * as drainAcceptance from "../drain-acceptance.js";
import * as requestBody from "../../wire/request-body.js";
import type * as transactionContext from "../transaction-context.js";
import * as pendingRequests from "./pending-requests.js";
import * as requestValidation from "./request-validation.js";
import * as localResponse from "./local-response.js";
import * as routeRequest from "../route-request.js";
import type * as tenantGate from "../tenant-gate.js";
import * as requestTransaction from "../request-transaction.js";

const DEFAULT_LIMITS: Required<configurationCheck.Limits> = {
  max_header_bytes: 16384,
  max_body_bytes: 4 * 1024 * 1024,
  header_timeout_ms: 5000,
  idle_timeout_ms: 15000,
};
/** How the machine's limits are divided (design 2.3). */
const BODY_MEMORY_FRACTION = 0.15;
const PENDING_PER_MB = 1.5;
const CLIENT_CONNECTION_FRACTION = 0.5;
const CONNECTION_CHECK_INTERVAL_MS = 1000;
/** Another router takes the request at once; in seconds. */
const DRAIN_RETRY_S = 0.1;
/** Requests of one connection whose responses are not sent: each is held in memory, and a client can send thousands in one packet. */
const MAX_OPEN_ON_CONNECTION = 32;
/** Another connection takes the request at once; in seconds. */
const PIPELINED_RETRY_S = 0.1;
/** Requests that may begin while earlier ones of their connection have no response (RFC 9112, 9.3.2). */
const SAFE_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);
const TOKENS_OUT_OF_RANGE = `X-Cranewind-Prompt-Prefix or X-Cranewind-Token-Usage names a count below 0 or over ${promptParts.MAX_TOKENS} tokens; send whole numbers from 0 on`;

/** The machine's limits, by the names of the settings. */
export interface MachineLimits {
  memory_mb: number;
  max_open_files: number;
}

/** A request of a client with the response that it waits for. */
interface Exchange {
  incoming: nodeHttp.IncomingMessage;
  outgoing: nodeHttp.ServerResponse;
  /** Milliseconds of the steady clock. */
  arrivedAt: number;
}

/** What the server needs of the router around it. */
export interface RouterServerOptions {
  clock: types.Clock;
  picker: transactionContext.TransactionContext["picker"];
  /** Whether requests may be routed; those that come earlier wait for a moment. */
  isReady: () => boolean;
  recordSend: transactionContext.TransactionContext["recordSend"];
  /** A request of the tenant began to run. */
  recordBegun: (tenant: string) => void;
  machine: MachineLimits;
  batches: routerBatches.RouterBatches;
  tenantGate: tenantGate.TenantGate;
}

/** Requests received since the graceful shutdown began. */
export interface DrainCounts {
  received: number;
  /** Of these, answered with 503 since they might have outlasted the drain. */
  rejected: number;
  /** Of these, after the listener had closed. */
  afterClose: number;
}

/** One for each router. */
export class RouterServer {
  private readonly server: nodeHttp.Server;
  private readonly active = new Set<requestTransaction.Transaction>();
  private readonly pending: pendingRequests.PendingRequests;
  private limits = DEFAULT_LIMITS;
  private readonly bodyMemory: memoryBudget.MemoryBudget;
  /** Set at the start of a graceful shutdown: each response is then the last on its connection. */
  isDraining = false;
  /** Which requests it still takes while it drains; null: all. */
  acceptance: drainAcceptance.DrainAcceptance | null = null;
  readonly drain: DrainCounts = { received: 0, rejected: 0, afterClose: 0 };
  readonly connections: httpConnections.HttpConnections;
  private isClosed = false;

  constructor(private readonly options: RouterServerOptions) {
    const { clock, machine } = options;
    this.bodyMemory = new memoryBudget.MemoryBudget(machine.memory_mb * 1024 * 1024 * BODY_MEMORY_FRACTION);
    this.pending = new pendingRequests.PendingRequests(clock, Math.floor(machine.memory_mb * PENDING_PER_MB));
    this.server = nodeHttp.createServer(
      {
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        maxHeaderSize: DEFAULT_LIMITS.max_header_bytes,
        requireHostHeader: false,
      },
      (incoming, outgoing) => this.onRequest(incoming, outgoing),
    );
    this.connections = new httpConnections.HttpConnections(this.server);
    this.server.on("clientError", onClientError);
    this.server.on("connect", requestValidation.rejectConnect);
    this.server.maxConnections = Math.floor(machine.max_open_files * CLIENT_CONNECTION_FRACTION);
    this.applyLimits(undefined);
  }

  /** Requests that are received, wait, or are under way, and those whose responses are not sent to the last byte. */
  get activeCount(): number {
    return this.connections.openCount;
  }

  private countDuringDrain(): void {
    if (!this.isDraining) return;
    log.count("drain.requests");
    this.drain.received += 1;
    if (!this.isClosed) return;
    log.count("drain.after_close");
    this.drain.afterClose += 1;
  }

  /** The limits of the configuration; undefined: the defaults. */
  applyLimits(limits: configurationCheck.Limits | undefined): void {
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

  /** The port in use, also when 0 was configured. */
  get port(): number {
    return types.portOf(listen.bound(this.server));
  }

  /** Accepts no more connections; each one ends with its last response. */
  close(): void {
    this.isClosed = true;
    this.connections.stopAccepting();
  }

  /** Lets requests leave runners that fell silent. Called a few times a second. */
  checkSilence(): void {
    const now = this.options.clock.now();
    for (const transaction of [...this.active]) transaction.checkSilence(now);
  }

  /** The grace period is over: requests whose clients have no head yet are answered with what is known of them. */
  endForShutdown(): void {
    for (const transaction of [...this.active]) transaction.endForShutdown();
  }

  /** The router serves from now on: the requests that wait are routed. */
  servePending(): void {
    this.pending.releaseAll();
  }

  private reject(outgoing: nodeHttp.ServerResponse, status: number, message: string, retryAfterS: number | null, isLast: boolean): void {
    log.count(`router.reply_${status}`);
    localResponse.sendLocalResponse(outgoing, status, message, retryAfterS, isLast || this.isDraining);
  }

  private onRequest(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse): void {
    if (requestValidation.isClosing(incoming.socket)) return;
    log.count("router.requests");
    this.countDuringDrain();
    const arrivedAt = this.options.clock.now();
    const openOnConnection = this.connections.beginExchange(incoming.socket, outgoing, arrivedAt);
    if (openOnConnection > MAX_OPEN_ON_CONNECTION) {
      this.rejectPipelined(incoming, outgoing);
      return;
    }
    const invalid = requestValidation.validate(incoming);
    if (invalid) {
      this.reject(outgoing, invalid.status, invalid.message, null, true);
      return;
    }
    const exchange = { incoming, outgoing, arrivedAt };
    const length = Number(incoming.headers["content-length"] ?? 0);
    if (length > this.limits.max_body_bytes) {
      this.rejectBody(exchange, "too_large");
      return;
    }
    if (!this.bodyMemory.hasCapacity(length)) {
      this.rejectBody(exchange, "no_memory");
      return;
    }
    this.receiveBody(exchange);
  }

  /** A client that sends this far ahead of responses gets them up to here; nothing that follows on its connection is read as a request. */
  private rejectPipelined(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse): void {
    log.count("router.too_many_pipelined");
    requestValidation.endWithLastResponse(incoming.socket);
    httpConnections.stopReading(incoming.socket);
    this.reject(outgoing, 503, "too many requests wait on this connection; open another one", PIPELINED_RETRY_S, true);
  }

  private findRoute(incoming: nodeHttp.IncomingMessage): routeTable.RouteEntry | null {
    return this.options.picker.routeTable?.find(incoming.headers.host ?? "", incoming.url ?? "/") ?? null;
  }

  private receiveBody(exchange: Exchange): void {
    const { incoming, outgoing } = exchange;
    const budgetMs = routeRequest.timeBudgetMs(incoming, this.findRoute(incoming));
    const timer = this.options.clock.schedule(budgetMs, () => this.rejectLateBody(exchange));
    const memory = this.bodyMemory.open();
    outgoing.once("close", () => {
      timer.stop();
      memory.release();
    });
    requestBody.receiveBody(
      incoming,
      { maxBytes: this.limits.max_body_bytes, memory },
      {
        onComplete: (body) => {
          timer.stop();
          if (!outgoing.headersSent) this.routeInTurn(exchange, body);
        },
        onRefused: (cause) => {
          timer.stop();
          this.rejectBody(exchange, cause);
        },
      },
    );
  }

  /** The body is not complete at the request's deadline: nothing was forwarded, and the connection ends. */
  private rejectLateBody({ incoming, outgoing }: Exchange): void {
    log.count("router.body_late");
    this.reject(outgoing, 408, "the deadline has passed before the body was whole; send it faster", null, true);
    outgoing.once("finish", () => incoming.destroy());
  }

  private rejectBody({ incoming, outgoing }: Exchange, cause: requestBody.BodyRefusal): void {
    log.count(`router.body_${cause}`);
    const { status, message, retryAfterS } = requestBody.describeRefusal(cause, `max_body_bytes ${this.limits.max_body_bytes}`);
    if (cause === "fragmented") httpConnections.endAtOnce(incoming.socket, outgoing);
    this.reject(outgoing, status, message, retryAfterS, true);
  }

  /** A request that isn't safe begins only once the responses before it are whole: were one broken off, its own could not be sent. */
  private routeInTurn(exchange: Exchange, body: Buffer | null): void {
    const { incoming, outgoing } = exchange;
    if (SAFE_METHODS.has(incoming.method ?? "")) this.routeRequest(exchange, body);
    else this.connections.whenItsTurn(incoming.socket, outgoing, () => this.routeRequest(exchange, body));
  }

  /** Finds the route and the tenant of a complete request. */
  private routeRequest(exchange: Exchange, body: Buffer | null): void {
    const { incoming, outgoing, arrivedAt } = exchange;
    const { picker, isReady, tenantGate, batches } = this.options;
    if (!picker.routeTable || !isReady()) {
      this.deferUntilReady(exchange, body);
      return;
    }
    const entry = this.findRoute(incoming);
    if (!entry) {
      this.reject(outgoing, 404, "no route has this host and path; see Config.Describe for the routes", null, false);
      return;
    }
    const requestId = routeRequest.requestIdOf(incoming);
    if (requestId === "") {
      this.reject(outgoing, 400, "X-Cranewind-Request-Id is missing; send one id a try", null, false);
      return;
    }
    const tenant = tenantGate.authenticate(incoming.headers[names.HEADER.key], entry.route);
    if (tenant && "status" in tenant) {
      this.reject(outgoing, tenant.status, tenant.cause, tenant.retryAfterS, false);
      return;
    }
    const isBatch = batches.isItem(incoming.headers[names.HEADER.batchPass]);
    const request = routeRequest.buildRouteRequest(incoming, { requestId, entry, tenant, body, arrivedAt, isBatch });
    if (promptParts.isOutOfRange(request.parts, request.requestedTokens)) {
      this.reject(outgoing, 400, TOKENS_OUT_OF_RANGE, null, false);
      return;
    }
    if (!isBatch) batches.countArrival(entry.route.name);
    this.acquireQuota(request, exchange);
  }

  private deferUntilReady(exchange: Exchange, body: Buffer | null): void {
    const { incoming, outgoing, arrivedAt } = exchange;
    this.pending.add(outgoing, arrivedAt, routeRequest.timeBudgetMs(incoming, this.findRoute(incoming)), {
      onReady: () => this.routeRequest(exchange, body),
      onTimeout: () => this.reject(outgoing, 503, "this node has no configuration yet; come back shortly", 0.3, true),
    });
  }

  /** Rejects what may have to be given up when a draining router ends; returns whether it did. */
  private rejectIfOutlastingDrain(request: routeRequest.RouteRequest, outgoing: nodeHttp.ServerResponse): boolean {
    if (this.acceptance === null || this.acceptance.accepts(request.deadline)) return false;
    log.count("drain.rejected");
    this.drain.rejected += 1;
    this.reject(outgoing, 503, "this router shuts down; ask the directory for another one", DRAIN_RETRY_S, true);
    return true;
  }

  /** Waits for a unit of the tenant's quota where there is a limit; a client that leaves meanwhile uses none. */
  private acquireQuota(request: routeRequest.RouteRequest, exchange: Exchange): void {
    const { tenantGate } = this.options;
    const { outgoing } = exchange;
    if (this.rejectIfOutlastingDrain(request, outgoing)) return;
    const claim = tenantGate.acquireQuota(
      request.tenant,
      (unit) => {
        // Time has passed since the request was taken: the drain may have begun or gone on meanwhile.
        if (outgoing.destroyed || this.rejectIfOutlastingDrain(request, outgoing)) tenantGate.returnQuota(request.tenant, unit);
        else this.startTransaction(request, exchange, unit);
      },
      (rejection) => this.reject(outgoing, rejection.status, rejection.cause, rejection.retryAfterS, false),
    );
    if (claim?.isPending) outgoing.once("close", () => claim.cancel());
  }

  private startTransaction(request: routeRequest.RouteRequest, { incoming, outgoing }: Exchange, unit: tenantGate.QuotaUnit): void {
    const { active } = this;
    const { clock, picker, recordSend, recordBegun, tenantGate } = this.options;
    const onFinished = (): void => {
      if (!active.delete(transaction)) return;
      if (transaction.wasNeverSent) tenantGate.returnQuota(request.tenant, unit);
    };
    const onBegun = (): void => {
      if (request.tenant) recordBegun(request.tenant.name);
    };
    const context = { clock, picker, onFinished, onBegun, recordSend, isDraining: () => this.isDraining };
    const transaction = new requestTransaction.Transaction(context, request, incoming, outgoing);
    active.add(transaction);
    transaction.start();
  }
}

const STATUS_BY_PARSER_ERROR = new Map<string, string>([
  ["HPE_HEADER_OVERFLOW", "431 Request Header Fields Too Large"],
  ["ERR_HTTP_REQUEST_TIMEOUT", "408 Request Timeout"],
]);

/** Responds to bytes that the parser rejects; the connection ends with the response. */
function onClientError(cause: NodeJS.ErrnoException, socket: net.Socket): void {
  if (cause.code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  if (requestValidation.keepPendingResponse(socket)) return;
  const status = STATUS_BY_PARSER_ERROR.get(cause.code ?? "") ?? "400 Bad Request";
  log.count(`router.reply_${status.slice(0, 3)}`);
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}
