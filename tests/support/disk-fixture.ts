// Files of a disk as an older build wrote them, kept in tests/fixtures.
import * as fs from "node:fs";

interface FileFixture {
  /** Bytes of the file; zeros follow the content. */
  length: number;
  /** Base64 of what precedes the zeros. */
  content: string;
}

/** The content of each file of the fixture, by name. */
export function readDiskFixture(name: string): Map<string, Buffer> {
  const { files } = JSON.parse(fs.readFileSync(`tests/fixtures/${name}.json`, "utf8")) as { files: Record<string, FileFixture> };
  return new Map(
    Object.entries(files).map(([file, { length, content }]) => [file, Buffer.concat([Buffer.from(content, "base64")], length)]),
  );
}
