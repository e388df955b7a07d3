// The parts of prompts that a stand-in runner keeps (design 11.1).

/** Of one runner. */
export class KeptPrompts {
  private readonly kept = new Set<string>();

  /** Takes the value of X-Cranewind-Prompt-Prefix; the tokens read anew: a part is kept only if all before it are. */
  read(prefix: string): number {
    let read = 0;
    let key = "";
    let isKept = true;
    for (const item of prefix === "" ? [] : prefix.split(",")) {
      const [id, tokens] = item.split(":");
      key += `${id},`;
      isKept &&= this.kept.has(key);
      if (!isKept) read += Number(tokens);
      this.kept.add(key);
    }
    return read;
  }
}
