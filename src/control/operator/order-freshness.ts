/**
 * Orders that name no base and no id (evacuations, roll-outs): they apply to whatever they find, so that one that is applied late
 * undoes a newer one that was acknowledged meanwhile (design/hardening/2-orders 5). A caller moves on to another node after a second
 * of silence; until then none of its newer orders can be acknowledged. So such an order is applied within that time, or never.
 */
import * as result from "true-myth/result";
import type * as registerStep from "../../register/register-step.js";
import * as errors from "../../runtime/errors.js";
import * as log from "../../runtime/log.js";
import * as serve from "../../wire/serve.js";
import * as operatorPaths from "./operator-paths.js";

/** Less than the second after which callers move on; the rest is for the way to this node. */
export const ORDER_LIFETIME_MS = 800;

/** Milliseconds for which the order may still be applied; 0: no more. */
export function remainingMs({ caller }: serve.HttpRequest): number {
  return caller.hasLeft() ? 0 : Math.max(0, ORDER_LIFETIME_MS - caller.waitedMs());
}

/** The step while the order may be applied, and then a rejection: the register may run it again at any later time. */
export function whileFresh(request: serve.HttpRequest, step: registerStep.Step): registerStep.Step {
  return (value) => (remainingMs(request) > 0 ? step(value) : result.err(expired()));
}

/** The handler, but for orders without a base that have waited for too long: they are neither applied, redirected nor forwarded. */
export function rejectExpired(next: serve.RequestHandler): serve.RequestHandler {
  return (request) => {
    const isExpired = request.method === "POST" && operatorPaths.isUnconditional(request.path) && remainingMs(request) === 0;
    if (!isExpired) return next(request);
    log.count("operator.expired");
    return serve.errorReply(expired());
  };
}

function expired(): errors.CranewindError {
  return new errors.ExpiredOrderError(
    `the order has waited for over ${ORDER_LIFETIME_MS} ms, and newer ones may have been acknowledged elsewhere`,
    "send it again if it still holds",
  );
}
