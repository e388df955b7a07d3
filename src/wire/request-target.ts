/** The target of a request to a server of the control plane, in linear time (RFC 9112, 3.2). */

/** The parts of a request's target. */
export interface RequestTarget {
  path: string;
  query: URLSearchParams;
}

/** Null for a target that is neither a path nor an absolute URL. The path is taken as it came. */
export function parse(target: string): RequestTarget | null {
  return target.startsWith("/") ? parsePath(target) : parseAbsolute(target);
}

function parsePath(target: string): RequestTarget {
  const fragmentAt = target.indexOf("#");
  const whole = fragmentAt < 0 ? target : target.slice(0, fragmentAt);
  const queryAt = whole.indexOf("?");
  if (queryAt < 0) return { path: whole, query: new URLSearchParams() };
  return { path: whole.slice(0, queryAt), query: new URLSearchParams(whole.slice(queryAt + 1)) };
}

function parseAbsolute(target: string): RequestTarget | null {
  if (!URL.canParse(target)) return null;
  const url = new URL(target);
  return { path: url.pathname, query: url.searchParams };
}
