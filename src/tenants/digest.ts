/**
 * Keys of tenants as they are kept outside the operator's configuration: by digest alone (design/tenants 2). A router
 * finds a tenant by looking the digest up, so that how long it takes says nothing of how much of a key was right.
 */
import * as crypto from "node:crypto";

declare const isKeyDigest: unique symbol;
/** SHA-256 of a key, in base64. */
export type KeyDigest = string & { readonly [isKeyDigest]: true };

/** The digest of a key as a client sends it. */
export function digestOf(key: string): KeyDigest {
  return crypto.createHash("sha256").update(key).digest("base64") as KeyDigest;
}
