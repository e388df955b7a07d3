// Raw bytes to a server on loopback, or over a connection in memory.
import * as net from "node:net";
import type * as stream from "node:stream";

/** Sends bytes as they are; what came back until the connection ended. */
export function sendRaw(port: number, text: string): Promise<string> {
  return talk(net.connect(port, "127.0.0.1"), text);
}

/** The same over a connection that stands. */
export function talk(socket: stream.Duplex, text: string): Promise<string> {
  return new Promise(function send(resolve) {
    let got = "";
    socket.on("data", (chunk: Buffer) => (got += chunk.toString("latin1")));
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(got));
    socket.write(Buffer.from(text, "latin1"));
  });
}
