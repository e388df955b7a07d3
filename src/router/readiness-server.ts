// A router's answers to the platform's checks and to its operators: ready or not, and its own account (design 9.1).
import * as nodeHttp from "node:http";
import * as listen from "../wire/listen.js";
import type * as tree from "../supervisor/tree.js";

/** Answers the platform's checks and `status`. */
export function readinessChild(address: string, isReady: () => boolean, status: () => unknown): tree.Child {
  const server = nodeHttp.createServer(reply);
  function reply(incoming: nodeHttp.IncomingMessage, outgoing: nodeHttp.ServerResponse): void {
    if (incoming.url === "/-/ready") outgoing.writeHead(isReady() ? 200 : 503, { "Content-Length": 0 }).end();
    else if (incoming.url === "/-/status") outgoing.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(status()));
    else outgoing.writeHead(404, { "Content-Length": 0 }).end();
  }
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
