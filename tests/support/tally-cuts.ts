// Cuts of every shape between some nodes: two sides, one of them alone, a pair, or one way only.

type Way = [from: string, to: string];

/** The ways that nothing passes. */
export function draw(addresses: readonly string[], random: () => number): Way[] {
  function any(): string {
    return addresses[Math.floor(random() * addresses.length)];
  }
  const side = new Set(random() < 0.3 ? [any()] : addresses.filter(() => random() < 0.4));
  const pair = new Set([any(), any()]);
  const shape = Math.floor(random() * 4);
  const ways = addresses.flatMap((from) => addresses.map((to): Way => [from, to]));
  return ways.filter(isCut);
  function isCut([from, to]: Way): boolean {
    const isOut = side.has(from) && !side.has(to);
    if (shape === 0) return from !== to && pair.has(from) && pair.has(to);
    return shape === 1 ? isOut : isOut || (side.has(to) && !side.has(from));
  }
}
