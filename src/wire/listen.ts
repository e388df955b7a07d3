/** A server comes up at an address, or says why not. */
import type * as net from "node:net";
import * as errors from "../runtime/errors.js";
import * as types from "./types.js";

const BACKLOG = 1024;

/** Resolves once the server listens at host:port; rejects with a StartupError if it cannot. */
export function listen(server: net.Server, address: string): Promise<void> {
  return new Promise(function start(resolve, reject) {
    function onError(cause: Error): void {
      const remedy = "end the process that uses the address, or set another one";
      reject(new errors.StartupError(`cannot listen at ${address}: ${cause.message}`, remedy, { cause }));
    }
    server.once("error", onError);
    function listening(): void {
      server.removeListener("error", onError);
      resolve();
    }
    server.listen({ host: types.hostOf(address), port: types.portOf(address), backlog: BACKLOG }, listening);
  });
}

/** The address in use, also when port 0 was asked for. */
export function bound(server: net.Server): string {
  const { address, port } = server.address() as net.AddressInfo;
  return `${address}:${port}`;
}
