// In place of the library's connector: addresses in memory, and no others.
import * as memoryNet from "../sim/memory-net.js";

interface Target {
  hostname: string;
  port: string;
}
type Callback = (error: Error | null, socket: memoryNet.MemorySocket | null) => void;

function refused(): Error {
  return Object.assign(new Error("connect ECONNREFUSED"), { code: "ECONNREFUSED" });
}

/** As `undici/lib/core/connect.js`: a function that connects and calls back. */
export default function buildConnector(): (target: Target, callback: Callback) => void {
  return function connect(target, callback) {
    const socket = memoryNet.connect(`${target.hostname}:${target.port}`);
    setImmediate(() => (socket ? callback(null, socket) : callback(refused(), null)));
  };
}
