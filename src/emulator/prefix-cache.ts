/** The prompt prefixes that an emulated runner has cached (design 11.1). */

/** The cache of one runner; nothing is evicted. */
export class PrefixCache {
  private readonly cached = new Set<string>();

  /**
   * Caches the prefix given by the value of X-Cranewind-Prompt-Prefix and returns the number of uncached tokens:
   * a part counts as cached only if all parts before it are.
   */
  read(prefix: string): number {
    let uncachedTokens = 0;
    let key = "";
    let isCached = true;
    for (const item of prefix === "" ? [] : prefix.split(",")) {
      const [id, tokens] = item.split(":");
      key += `${id},`;
      isCached &&= this.cached.has(key);
      if (!isCached) uncachedTokens += Number(tokens);
      this.cached.add(key);
    }
    return uncachedTokens;
  }
}
