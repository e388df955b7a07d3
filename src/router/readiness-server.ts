/** A router's HTTP server for the platform's health checks and for its operators' `status` (design 9.1). */
import * as nodeHttp from "node:http";
import * as listen from "../wire/listen.js";
import type * as tree from "../supervisor/tree.js";

/** `/-/ready` and `/-/status` at this address, as a supervised part. */
export function readinessChild(address: string, isReady: () => boolean, status: () => unknown): tree.Child {
  const server = nodeHttp.createServer((incoming, outgoing) => {
    if (incoming.url === "/-/ready") outgoing.writeHead(isReady() ? 200 : 503, { "Content-Length": 0 }).end();
    else if (incoming.url === "/-/status") outgoing.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(status()));
    else outgoing.writeHead(404, { "Content-Length": 0 }).end();
  });
  return {
    name: "readiness",
    start(): Promise<void> {
      return listen.listen(server, address);
    },
    stop(): void {
      server.close();
      server.closeIdleConnections();
    },
  };
}
