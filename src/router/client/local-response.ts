// The router's own replies; each is final and told at once (design 7.10).
import type * as nodeHttp from "node:http";

/** Sends one reply; where another has begun, the connection ends instead. */
export function sendLocalResponse(
  outgoing: nodeHttp.ServerResponse,
  status: number,
  message: string,
  retryAfterS: number | null,
  isLast: boolean,
): void {
  if (outgoing.headersSent || outgoing.destroyed) {
    outgoing.destroy();
    return;
  }
  const body = Buffer.from(JSON.stringify({ message }));
  const headers: Record<string, string | number> = { "Content-Type": "application/json", "Content-Length": body.length };
  if (retryAfterS !== null) headers["Retry-After"] = retryAfterS.toFixed(2);
  if (isLast) headers["Connection"] = "close";
  outgoing.writeHead(status, headers);
  outgoing.end(body);
}
