/** Admission as the last policy of the chain (design/admission 1). */
import type * as admissions from "../../admission/admission.js";
import type * as routePlan from "../../routing/route-plan.js";
import type * as policyChain from "./policy-chain.js";

/** Rejects what would miss its deadline at every candidate. */
export class AdmissionPolicy implements policyChain.Policy {
  readonly name = "admission";
  constructor(private readonly admission: admissions.Admission) {}

  apply(plan: routePlan.RoutePlan): routePlan.Rejection | null {
    return this.admission.decide(plan);
  }
}
