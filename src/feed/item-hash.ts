/**
 * A hash of key and body in two lanes of 32 bits (design/parts 2). It proves that two sides hold the same items, against lost
 * and mixed-up changes, not against malice.
 */

const HIGH_LANE_PRIME = 0x9e3779b1;
const LOW_LANE_PRIME = 0x5f356495;

/** [high, low], each a whole number below 2^32. */
export function hashItem(key: string, body: Uint8Array): [number, number] {
  let high = 0xdeadbeef ^ key.length;
  let low = 0x41c6ce57 ^ body.length;
  for (let index = 0; index < key.length; index += 1) {
    const unit = key.charCodeAt(index);
    high = Math.imul(high ^ unit, HIGH_LANE_PRIME);
    low = Math.imul(low ^ unit, LOW_LANE_PRIME);
  }
  for (let index = 0; index < body.length; index += 1) {
    const byte = body[index];
    high = Math.imul(high ^ byte, HIGH_LANE_PRIME);
    low = Math.imul(low ^ byte, LOW_LANE_PRIME);
  }
  const first = Math.imul(high ^ (high >>> 16), 0x85ebca6b) ^ Math.imul(low ^ (low >>> 13), 0xc2b2ae35);
  const second = Math.imul(low ^ (low >>> 16), 0x85ebca6b) ^ Math.imul(first ^ (first >>> 13), 0xc2b2ae35);
  return [first >>> 0, second >>> 0];
}
