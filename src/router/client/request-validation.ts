/** Validates requests beyond what the parser does, before their bodies are read (design/edge 7.12). */
import type * as nodeHttp from "node:http";
import type * as net from "node:net";
import * as log from "../../runtime/log.js";
import * as names from "../../wire/names.js";

/** Why a request is invalid. */
export interface InvalidRequest {
  status: 400 | 501 | 505;
  message: string;
}

const SLASH = 47;
const HOST = "host";
const TRANSFER_ENCODING = "transfer-encoding";
/** Characters of an authority (RFC 3986), without user information. */
const AUTHORITY = /^[\w.~!$&'()*+;=%:[\]-]*$/;
const ABSOLUTE = /^http:\/\/([^/?#]+)([^#]*)$/i;
/** A request id is echoed and compared byte by byte. */
const VISIBLE_ASCII = /^[\x21-\x7e]*$/;
/** Fields that are for the runner: Connection must not name them. */
const END_TO_END: ReadonlySet<string> = new Set([HOST, names.HEADER.requestId]);

/** Connections that end with the response to an earlier request: bytes that follow on them are no request. */
const closingSockets = new WeakSet<net.Socket>();

/** Whether the connection ends with an earlier response. */
export function isClosing(socket: net.Socket): boolean {
  return closingSockets.has(socket);
}

/** The connection ends with the response to the request that was read last: what follows on it is no request. */
export function endWithLastResponse(socket: net.Socket): void {
  closingSockets.add(socket);
}

interface SocketWithResponse {
  /** The response that the server writes there now; Node's internal name. */
  _httpMessage?: nodeHttp.ServerResponse | null;
}

/**
 * Called when bytes that are no request arrive on a connection. Returns true where an earlier request is complete or its
 * response is under way: that response becomes the last, and no other takes its place.
 */
export function keepPendingResponse(socket: net.Socket): boolean {
  const response = (socket as net.Socket & SocketWithResponse)._httpMessage;
  if (!response || !(response.headersSent || response.req.complete)) return closingSockets.has(socket);
  closingSockets.add(socket);
  response.shouldKeepAlive = false;
  response.once("close", () => socket.destroySoon());
  return true;
}

/** Checks the fields in one pass; null: valid. A target in absolute form is converted to origin form, with its authority as the host. */
export function validate(incoming: nodeHttp.IncomingMessage): InvalidRequest | null {
  const invalid = findFault(incoming);
  if (invalid) {
    closingSockets.add(incoming.socket);
    log.count("router.malformed");
  }
  return invalid;
}

function findFault(incoming: nodeHttp.IncomingMessage): InvalidRequest | null {
  const { rawHeaders: raw } = incoming;
  let hostAt = -1;
  let hasId = false;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index];
    // Lengths are compared first: few fields need more.
    if (name.length === HOST.length && name.toLowerCase() === HOST) {
      if (hostAt >= 0) return badRequest("two Host fields; send one");
      hostAt = index + 1;
    } else if (name.length === names.HEADER.requestId.length && name.toLowerCase() === names.HEADER.requestId) {
      if (hasId) return badRequest("two X-Cranewind-Request-Id fields; send one id a try");
      hasId = true;
      if (!VISIBLE_ASCII.test(raw[index + 1])) return badRequest("X-Cranewind-Request-Id holds more than visible ASCII; send a plain id");
    } else if (name.length === TRANSFER_ENCODING.length && name.toLowerCase() === TRANSFER_ENCODING) {
      if (incoming.httpVersionMinor === 0) return badRequest("Transfer-Encoding in HTTP/1.0; send Content-Length");
      if (raw[index + 1].toLowerCase() !== "chunked")
        return { status: 501, message: "a transfer coding other than chunked; send chunked alone" };
    }
  }
  if (incoming.httpVersionMajor !== 1) return { status: 505, message: "not HTTP/1.1; send HTTP/1.1" };
  if (hostAt < 0 && incoming.httpVersionMinor > 0) return badRequest("Host is missing; send one");
  if (hostAt >= 0 && !AUTHORITY.test(raw[hostAt])) return badRequest("Host is no host; send host or host:port");
  return checkConnection(incoming.headers.connection) ?? checkTarget(incoming, hostAt);
}

function badRequest(message: string): InvalidRequest {
  return { status: 400, message };
}

function checkConnection(connection: string | undefined): InvalidRequest | null {
  if (connection === undefined || connection === "keep-alive" || connection === "close") return null;
  for (const item of connection.toLowerCase().split(",")) {
    if (END_TO_END.has(item.trim())) return badRequest(`Connection names ${item.trim()}; leave it out`);
  }
  return null;
}

function checkTarget(incoming: nodeHttp.IncomingMessage, hostAt: number): InvalidRequest | null {
  const target = incoming.url ?? "/";
  if (target.charCodeAt(0) === SLASH) return target.includes("#") ? badRequest("a fragment in the target; leave it out") : null;
  if (target === "*") return incoming.method === "OPTIONS" ? null : badRequest("the target * is for OPTIONS; send a path");
  const parts = ABSOLUTE.exec(target);
  if (!parts || !AUTHORITY.test(parts[1])) return badRequest("the target is neither a path nor http://host/path; send a path");
  const rest = parts[2];
  if (rest === "" && incoming.method === "OPTIONS") incoming.url = "*";
  else incoming.url = rest.charCodeAt(0) === SLASH ? rest : `/${rest}`;
  // The authority of the target counts, whatever Host says (RFC 9112, 3.2.2).
  incoming.headers.host = parts[1]!;
  if (hostAt >= 0) incoming.rawHeaders[hostAt] = parts[1]!;
  else incoming.rawHeaders.push("Host", parts[1]);
  return null;
}

/** CONNECT is not implemented; its connection ends with the response. */
export function rejectConnect(_incoming: nodeHttp.IncomingMessage, socket: net.Socket): void {
  log.count("router.requests");
  log.count("router.malformed");
  log.count("router.reply_501");
  // An error means that the client is gone already.
  socket.on("error", () => undefined);
  socket.end("HTTP/1.1 501 Not Implemented\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
}
