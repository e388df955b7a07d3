// Clients of a soak that write their own bytes: pairs of requests on one connection, and rude peers, whose exchanges nobody judges.
import * as net from "node:net";
import * as simulatedClock from "../sim/simulated-clock.js";
import * as nodes from "./nodes.js";
import type * as soakAccount from "./soak-account.js";
import type * as soakClients from "./soak-clients.js";
import type * as soakConnection from "./soak-connection.js";

const PAIR_PAUSE_MS = 100;
const RUDE_PAUSE_MS = 400;
const SILENCE_MS = 25_000;
const RUDE_PATH = "/".repeat(12_000);
const RUDE_CHUNKS = "1\r\nx\r\n".repeat(20_000);
const STATUS = /^HTTP\/1\.1 (\d{3})/;
const REQUEST_ID = /\r\nx-cranewind-request-id: (\S+)/i;
const LENGTH = /\r\ncontent-length: (\d+)/i;
const CHUNKED = /\r\ntransfer-encoding: chunked/i;
const HEAD_END = "\r\n\r\n";
const CHUNKS_END = "0\r\n\r\n";

/** A response at the begin of the text; `length` is NaN while it is not whole. */
interface RawResponse {
  status: number;
  requestId: string;
  length: number;
}

function readResponse(text: string): RawResponse {
  const headEnd = text.indexOf(HEAD_END);
  const head = text.slice(0, Math.max(0, headEnd));
  const bodyAt = headEnd + HEAD_END.length;
  const chunksEnd = text.indexOf(CHUNKS_END, bodyAt);
  const chunkedLength = chunksEnd < 0 ? Number.NaN : chunksEnd + CHUNKS_END.length;
  const length = CHUNKED.test(head) ? chunkedLength : bodyAt + Number(LENGTH.exec(head)?.[1]);
  const isWhole = headEnd >= 0 && length <= text.length;
  return {
    status: Number(STATUS.exec(text)?.[1] ?? 0),
    requestId: REQUEST_ID.exec(head)?.[1] ?? "",
    length: isWhole ? length : Number.NaN,
  };
}

function postOf(id: string, framing: string, body: string): string {
  return `POST /once/x HTTP/1.1\r\nHost: soak.example\r\nX-Cranewind-Request-Id: ${id}\r\n${framing}\r\n\r\n${body}`;
}

/** Sends pairs of requests that may run once, the second behind the first, at routers in turn, each pair on a connection of its own. */
export class PairClient implements soakClients.Client {
  private isOver = false;

  constructor(
    private readonly fleet: soakClients.Fleet,
    private readonly number: number,
  ) {}

  stop(): void {
    this.isOver = true;
  }

  async run(): Promise<void> {
    for (let count = 0; !this.isOver; count += 1) {
      await this.sendPair((this.number + count) % this.fleet.routers, [`a${this.number}-${count}`, `b${this.number}-${count}`]);
      await nodes.pause(PAIR_PAUSE_MS);
    }
  }

  private sendPair(router: number, ids: string[]): Promise<void> {
    const [host, port] = nodes.frontOf(router).split(":");
    const socket = net.connect(Number(port), host);
    const pending = ids.map((id): soakAccount.Entry => {
      const exchange: soakConnection.Exchange = {
        ending: "closed",
        status: 0,
        headers: {},
        body: "",
        isReused: false,
        sentAt: performance.now(),
        endedAt: 0,
      };
      return { id, kind: "request", isOnce: true, node: `router-${router}`, exchange };
    });
    this.fleet.account.entries.push(...pending);
    return new Promise((resolve) => {
      let received = "";
      const end = (ending: soakConnection.Ending): void => {
        if (pending.length === 0) return;
        timer.close();
        for (const [place, { exchange }] of pending.splice(0).entries()) {
          const isBegun = place === 0 && received !== "" && ending !== "silent";
          Object.assign(exchange, { ending: isBegun ? "cut" : ending, endedAt: performance.now() });
        }
        socket.destroy();
        resolve();
      };
      const timer = setTimeout(() => end("silent"), SILENCE_MS);
      socket.on("data", (bytes: Buffer) => {
        received += bytes.toString("latin1");
        for (let response = readResponse(received); response.length > 0 && pending.length > 0; response = readResponse(received)) {
          const headers = response.requestId === "" ? {} : { "x-cranewind-request-id": response.requestId };
          Object.assign(pending.shift()!.exchange, { ending: "complete", status: response.status, headers, endedAt: performance.now() });
          received = received.slice(response.length);
        }
        if (pending.length > 0) return;
        timer.close();
        socket.destroy();
        resolve();
      });
      socket.on("error", ({ code }: NodeJS.ErrnoException) => end(code === "ECONNREFUSED" ? "refused" : "reset"));
      socket.on("close", () => end("closed"));
      socket.write(ids.map((id) => postOf(id, "Content-Length: 4", "soak")).join(""));
    });
  }
}

/** Sends what costs a router most, at routers in turn: a long path, or a body in chunks of one byte. */
export class RudeClient implements soakClients.Client {
  private readonly random: simulatedClock.SimulatedClock;
  private isOver = false;

  constructor(
    private readonly fleet: soakClients.Fleet,
    seed: number,
  ) {
    this.random = new simulatedClock.SimulatedClock(seed);
  }

  stop(): void {
    this.isOver = true;
  }

  async run(): Promise<void> {
    for (let count = 0; !this.isOver; count += 1) {
      const [host, port] = nodes.frontOf(count % this.fleet.routers).split(":");
      const socket = net.connect(Number(port), host);
      socket.on("error", () => undefined);
      socket.resume();
      const chunks = postOf(`rude-${count}`, "Transfer-Encoding: chunked", RUDE_CHUNKS);
      socket.write(this.random.random() < 0.5 ? chunks : `GET ${RUDE_PATH} HTTP/1.1\r\nHost: soak.example\r\n\r\n`);
      await nodes.pause(RUDE_PAUSE_MS);
      socket.destroy();
    }
  }
}
