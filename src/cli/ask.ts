/** `cranewind ask`: one request through a router, as a client would send it (design 10.2). */
import * as crypto from "node:crypto";
import * as nodeHttp from "node:http";
import * as types from "../wire/types.js";
import * as commands from "./commands.js";

/** The options of the command, as text. */
export interface AskOptions {
  /** Address of the router's front, HOST:PORT. */
  router: string;
  /** Host and path of the route. */
  host: string;
  path: string;
  /** Parts of the prompt as ID:TOKENS pairs; empty for a plain request. */
  prompt: string;
  /** Key of a tenant; empty where the route needs none. */
  key: string;
  /** The client's time budget in milliseconds. */
  budgetMs: string;
}

/** Sends the request and prints one line on its end; resolves to the exit code and never rejects. */
export function ask(output: commands.Output, options: AskOptions): Promise<number> {
  const startedMs = Date.now();
  const headers: nodeHttp.OutgoingHttpHeaders = {
    Host: options.host,
    "X-Cranewind-Request-Id": crypto.randomBytes(8).toString("hex"),
    "X-Cranewind-Time-Budget-Ms": options.budgetMs,
    "X-Cranewind-Model": "m",
  };
  if (options.key !== "") headers["Api-Key"] = options.key;
  if (options.prompt !== "") {
    headers["X-Cranewind-Prompt-Prefix"] = options.prompt;
    headers["X-Cranewind-Token-Usage"] = "100,100";
  }
  return new Promise(function send(resolve) {
    function onResponse(response: nodeHttp.IncomingMessage): void {
      let firstMs = -1;
      let bytes = 0;
      response.on("data", function more(chunk: Buffer) {
        if (firstMs < 0) firstMs = Date.now() - startedMs;
        bytes += chunk.length;
      });
      response.on("error", function ignored() {
        // The close that follows tells how it ended.
      });
      response.on("close", function ended() {
        const state = response.complete ? "whole" : "BROKEN OFF";
        output.line(
          `${response.statusCode} ${state}, first piece after ${firstMs} ms, ${bytes} bytes in ${Date.now() - startedMs} ms, seal ${String(response.headers["x-cranewind-response-seal"] ?? "none")}`,
        );
        const isGood = response.complete && response.statusCode! < 300;
        if (response.statusCode! >= 300)
          output.failure(
            `denied with ${response.statusCode}; retry after ${String(response.headers["retry-after"] ?? "a change of the request")}`,
          );
        resolve(isGood ? commands.EXIT.ok : commands.EXIT.denied);
      });
    }
    const request = nodeHttp.request(
      { host: types.hostOf(options.router), port: types.portOf(options.router), path: options.path, method: "POST", agent: false, headers },
      onResponse,
    );
    function onError(cause: Error): void {
      output.failure(`${options.router} does not reply: ${cause.message}; check that a router runs there, or name another with --router`);
      resolve(commands.EXIT.unreachable);
    }
    request.on("error", onError);
    request.end();
  });
}
