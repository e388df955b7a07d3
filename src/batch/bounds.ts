/** What a batch, and all batches together, may take (design/batch 2). All values are ours; docs/batch.md lists them. */

/** Items of one batch. */
export const MAX_ITEMS = 2000;
/** Bytes of one submission. */
export const MAX_SUBMISSION_BYTES = 1024 * 1024;
/** Batches with work to be done, and all that are remembered with their results. */
export const MAX_OPEN = 32;
/** Batches remembered, open and ended ones together. */
export const MAX_BATCHES = 64;
/** Bytes that all remembered submissions and results may take on each disk. */
export const MAX_BYTES = 32 * 1024 * 1024;
/** Bytes of one result; a longer answer is recorded as a failure. */
export const MAX_RESULT_BYTES = 64 * 1024;
/** Set aside for a result: a part that is always there, and so many bytes for each token asked for. */
export const RESULT_BASE_BYTES = 512;
/** Bytes set aside for each token asked for. */
export const RESULT_BYTES_PER_TOKEN = 32;
/** An item fails for good after so many failed tries. */
export const MAX_FAILURES = 8;
/** Ended batches are dropped, the oldest first, once so much time passed on the batch clock, or for want of room. */
export const RETENTION_MS = 7 * 24 * 3600 * 1000;
