// Raw bytes to a server on loopback.
import * as net from "node:net";

/** Sends bytes as they are; what came back until the connection ended. */
export function sendRaw(port: number, text: string): Promise<string> {
  return new Promise(function send(resolve) {
    const socket = net.connect(port, "127.0.0.1");
    let got = "";
    socket.on("data", (chunk: Buffer) => (got += chunk.toString("latin1")));
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(got));
    socket.write(Buffer.from(text, "latin1"));
  });
}
