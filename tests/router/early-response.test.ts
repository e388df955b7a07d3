// A runner may answer before it has read a long body, keep the connection and read on later (design 7.8): where the rest
// of that body is due come that body's own bytes, and then the next request.
import * as net from "node:net";
import * as timers from "../../src/runtime/timers.js";
import * as routerEdge from "../sim/router-edge.js";
import * as rawRunner from "../sim/raw-runner.js";

const BODY_BYTES = 3 * 1024 * 1024;
const HEAD_END = "\r\n\r\n";

/** Answers each request from its head alone, and stops reading until it is told to go on. */
class EarlyRunner {
  readonly id = "i-1";
  readonly receivedRequests: never[] = [];
  address = "";
  connections = 0;
  received = Buffer.alloc(0);
  private socket: net.Socket | null = null;
  private readonly server = net.createServer((socket) => this.accept(socket));

  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  stop(): void {
    this.server.close();
    this.socket?.destroy();
  }

  private accept(socket: net.Socket): void {
    this.socket = socket;
    this.connections += 1;
    socket.on("error", () => undefined);
    socket.on("data", (chunk) => this.take(socket, chunk));
  }

  private take(socket: net.Socket, chunk: Buffer): void {
    const isFirst = this.received.length === 0;
    this.received = Buffer.concat([this.received, chunk]);
    if (isFirst) {
      socket.pause();
      this.answer("q1");
    } else if (this.received.includes("X-Cranewind-Request-Id: q2")) this.answer("q2");
  }

  private answer(requestId: string): void {
    this.socket!.write(rawRunner.answerBytes(this.id, requestId, rawRunner.FINE));
  }

  readOn(): void {
    this.socket!.resume();
  }
}

function post(requestId: string, body: string): string {
  return `POST /once/x HTTP/1.1\r\nHost: h\r\nX-Cranewind-Request-Id: ${requestId}\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

test("the rest of a body that was answered early stands before the next request, whole and unchanged", async () => {
  const runner = new EarlyRunner();
  const edge = await routerEdge.Edge.over(new timers.SystemClock(), [runner]);
  edge.server.applyLimits({ max_body_bytes: 2 * BODY_BYTES });
  try {
    const body = Array.from({ length: BODY_BYTES / 8 }, (_, index) => index.toString(16).padStart(8, "0")).join("");
    expect(rawRunner.readAnswer(await edge.send(post("q1", body)))).toMatchObject({ status: 200, looksWhole: true });
    const second = edge.send(post("q2", "short"));
    runner.readOn();
    expect(rawRunner.readAnswer(await second)).toMatchObject({ status: 200, body: rawRunner.bodyOf("i-1", "q2") });
    const text = runner.received.toString("latin1");
    const bodyAt = text.indexOf(HEAD_END) + HEAD_END.length;
    // On another connection the rest would never come; on this one it comes first.
    if (runner.connections === 1) expect(text.slice(bodyAt, bodyAt + BODY_BYTES) === body).toBe(true);
    const nextAt = runner.connections === 1 ? bodyAt + BODY_BYTES : text.lastIndexOf("POST /once/x");
    expect(text.slice(nextAt)).toMatch(/^POST \/once\/x HTTP\/1\.1\r\n[\s\S]*q2[\s\S]*\r\n\r\nshort$/);
  } finally {
    edge.stop();
  }
});
