// Names on the wire; protocol names stay as the protocol has them (design 1.2).
/** Header names in lower case. */
export const HEADER = {
  requestId: "x-cranewind-request-id",
  budgetMs: "x-cranewind-time-budget-ms",
  prefix: "x-cranewind-prompt-prefix",
  tokens: "x-cranewind-token-usage",
  priority: "x-cranewind-request-priority",
  target: "x-cranewind-target-instance",
  seal: "x-cranewind-response-seal",
  notExecuted: "x-cranewind-not-executed",
  warmupMs: "x-cranewind-warmup-ms",
  instance: "x-cranewind-instance-id",
  expectedVersion: "x-cranewind-expected-version",
  batchPass: "x-cranewind-batch-pass",
  model: "x-cranewind-model",
  lastEventId: "last-event-id",
  retryAfter: "retry-after",
  base: "x-cranewind-base-version",
  tenant: "x-cranewind-tenant",
  dutyHolder: "x-cranewind-duty-holder",
  fence: "x-cranewind-fence-token",
  key: "api-key",
} as const;
