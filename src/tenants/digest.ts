/**
 * Keys of tenants as they are kept outside the operator's configuration: by digest alone (design/tenants 2). A router
 * finds a tenant by looking the digest up, so that how long it takes says nothing of how much of a key was right.
 */
import * as crypto from "node:crypto";

declare const isKeyDigest: unique symbol;
/** SHA-256 of a key, in base64. */
export type KeyDigest = string & { readonly [isKeyDigest]: true };

/** Newer runtimes hash in one call, without an object for it. */
const hashOnce = (crypto as { hash?: typeof crypto.hash }).hash;

/** The digest of a key as a client sends it. */
export function digestOf(key: string): KeyDigest {
  const digest = hashOnce ? hashOnce("sha256", key, "base64") : crypto.createHash("sha256").update(key).digest("base64");
  return digest as KeyDigest;
}
