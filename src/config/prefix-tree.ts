/**
 * Path prefixes as a tree of segments, for the longest prefix of a path. A lookup goes down from the root and ends where no
 * prefix goes on: it reads each character of the path at most once, however many slashes there are.
 */

const SLASH = "/";

interface Node<Value> {
  value: Value | null;
  readonly children: Map<string, Node<Value>>;
}

/** Values by path prefix. A prefix begins and ends with a slash. */
export class PrefixTree<Value extends object> {
  private readonly root: Node<Value> = newNode();

  /** Whether it has no values. */
  get isEmpty(): boolean {
    return isUnused(this.root);
  }

  /** Sets the value of a prefix. */
  set(prefix: string, value: Value): void {
    let node = this.root;
    for (const segment of segmentsOf(prefix)) {
      let child = node.children.get(segment);
      if (!child) {
        child = newNode();
        node.children.set(segment, child);
      }
      node = child;
    }
    node.value = value;
  }

  /** Removes the value of a prefix, where there is one. */
  delete(prefix: string): void {
    const path = [this.root];
    const segments = segmentsOf(prefix);
    for (const segment of segments) {
      const child = path[path.length - 1].children.get(segment);
      if (!child) return;
      path.push(child);
    }
    path[path.length - 1].value = null;
    for (let depth = segments.length; depth > 0 && isUnused(path[depth]); depth -= 1) path[depth - 1].children.delete(segments[depth - 1]);
  }

  /** The value of the longest prefix of `target` up to `end`, or null. A target that does not begin with a slash has none. */
  find(target: string, end: number): Value | null {
    if (end === 0 || target[0] !== SLASH) return null;
    let node = this.root;
    let found = node.value;
    let segmentStart = 1;
    while (node.children.size > 0) {
      const slash = target.indexOf(SLASH, segmentStart);
      if (slash < 0 || slash >= end) break;
      const child = node.children.get(target.slice(segmentStart, slash));
      if (!child) break;
      node = child;
      found = node.value ?? found;
      segmentStart = slash + 1;
    }
    return found;
  }
}

function newNode<Value>(): Node<Value> {
  return { value: null, children: new Map() };
}

function isUnused(node: Node<unknown>): boolean {
  return node.value === null && node.children.size === 0;
}

/** The segments of a prefix: "/" has none, "/a//" has "a" and "". */
function segmentsOf(prefix: string): string[] {
  return prefix === SLASH ? [] : prefix.slice(1, -1).split(SLASH);
}
