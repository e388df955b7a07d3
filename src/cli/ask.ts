// One request through a router, as a client would send it (design 10.2).
import * as crypto from "node:crypto";
import * as nodeHttp from "node:http";
import * as types from "../wire/types.js";
import * as commands from "./commands.js";

export interface Ask {
  router: string;
  host: string;
  path: string;
  prompt: string;
  budgetMs: string;
}

export function ask(output: commands.Output, wanted: Ask): Promise<number> {
  const started = Date.now();
  const headers: nodeHttp.OutgoingHttpHeaders = {
    Host: wanted.host,
    "X-Cranewind-Request-Id": crypto.randomBytes(8).toString("hex"),
    "X-Cranewind-Time-Budget-Ms": wanted.budgetMs,
    "X-Cranewind-Model": "m",
  };
  if (wanted.prompt !== "") {
    headers["X-Cranewind-Prompt-Prefix"] = wanted.prompt;
    headers["X-Cranewind-Token-Usage"] = "100,100";
  }
  return new Promise(function send(resolve) {
    const request = nodeHttp.request(
      { host: types.hostOf(wanted.router), port: types.portOf(wanted.router), path: wanted.path, method: "POST", agent: false, headers },
      taken,
    );
    request.on("error", failed);
    request.end();
    function failed(cause: Error): void {
      output.failure(`${wanted.router} does not reply: ${cause.message}; check that a router runs there, or name another with --router`);
      resolve(commands.EXIT.unreachable);
    }
    function taken(reply: nodeHttp.IncomingMessage): void {
      let firstMs = -1;
      let bytes = 0;
      reply.on("data", function more(chunk: Buffer) {
        if (firstMs < 0) firstMs = Date.now() - started;
        bytes += chunk.length;
      });
      reply.on("error", function ignored() {
        // The close that follows tells how it ended.
      });
      reply.on("close", function ended() {
        const state = reply.complete ? "whole" : "BROKEN OFF";
        output.line(
          `${reply.statusCode} ${state}, first piece after ${firstMs} ms, ${bytes} bytes in ${Date.now() - started} ms, seal ${String(reply.headers["x-cranewind-response-seal"] ?? "none")}`,
        );
        const isGood = reply.complete && reply.statusCode! < 300;
        if (reply.statusCode! >= 300)
          output.failure(
            `denied with ${reply.statusCode}; retry after ${String(reply.headers["retry-after"] ?? "a change of the request")}`,
          );
        resolve(isGood ? commands.EXIT.ok : commands.EXIT.denied);
      });
    }
  });
}
