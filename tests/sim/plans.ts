// What plans of plain requests have in common.

/** A request of a client of no tenant. */
export const NOBODYS = { isBatch: false, tenant: null };
