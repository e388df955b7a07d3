// Quantiles of measured times.

/** The value below which the share of the sorted values lies; NaN of none. */
export function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
}
