/** The router's own responses; each is final and sent at once (design 7.10). */
import type * as nodeHttp from "node:http";

/** Sends one response; where another has begun, the connection is destroyed instead. `retryAfterS` in seconds; null: without that field. */
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
