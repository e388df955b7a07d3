// Frames and bytes of all links of this process by kind, told and heard: two array steps a frame (design 9.1).
import * as calls from "./calls.js";

const KINDS = 256;
const HEAD_BYTES = 10;
const framesTold = new Float64Array(KINDS);
const bytesTold = new Float64Array(KINDS);
const framesHeard = new Float64Array(KINDS);
const bytesHeard = new Float64Array(KINDS);

/** Frames and bytes of one kind. */
export interface LinkCount {
  framesTold: number;
  bytesTold: number;
  framesHeard: number;
  bytesHeard: number;
}

/** A frame was sent. */
export function recordSent(code: number, bodyBytes: number): void {
  framesTold[code] += 1;
  bytesTold[code] += bodyBytes + HEAD_BYTES;
}

/** A frame came. */
export function recordReceived(code: number, bodyBytes: number): void {
  framesHeard[code] += 1;
  bytesHeard[code] += bodyBytes + HEAD_BYTES;
}

/** Since this process began, by the name of the pair; bytes with the frames' heads, without TCP's. */
export function linkCounts(): Map<string, LinkCount> {
  const found = new Map<string, LinkCount>();
  for (let code = 0; code < KINDS; code += 1) {
    if (framesTold[code] === 0 && framesHeard[code] === 0) continue;
    found.set(calls.byCode(code)?.name ?? `code-${code}`, {
      framesTold: framesTold[code],
      bytesTold: bytesTold[code],
      framesHeard: framesHeard[code],
      bytesHeard: bytesHeard[code],
    });
  }
  return found;
}
