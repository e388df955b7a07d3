// Guards against memory that grows with the number of pieces and not with their bytes (review case 5).
import * as fastCheck from "fast-check";
import * as byteCollector from "../../src/wire/byte-collector.js";

/** Bytes beyond twice the message: the smallest block. */
const SLACK_BYTES = 1024;

test("any pieces become the same bytes, and what is held is told beforehand and at most twice the message", () => {
  const pieces = fastCheck.array(fastCheck.uint8Array({ maxLength: 3000 }), { maxLength: 40 });
  fastCheck.assert(
    fastCheck.property(pieces, fastCheck.option(fastCheck.nat(50_000), { nil: undefined }), (list, expectedBytes) => {
      const collector = new byteCollector.ByteCollector(expectedBytes);
      const whole = Buffer.concat(list);
      for (const piece of list) {
        const told = collector.heldBytesWith(piece.length);
        collector.append(Buffer.from(piece));
        expect(collector.heldBytes).toBe(told);
        expect(told).toBeLessThanOrEqual(2 * collector.length + SLACK_BYTES);
      }
      expect(collector.take().equals(whole)).toBe(true);
      expect([collector.length, collector.heldBytes]).toEqual([0, 0]);
    }),
    { numRuns: 100 },
  );
});

test("a message of known length is held in one block of that length from the middle on", () => {
  const collector = new byteCollector.ByteCollector(10_000);
  for (let count = 0; count < 10_000; count += 1) collector.append(Buffer.of(count & 0xff));
  expect(collector.heldBytes).toBe(10_000);
});
