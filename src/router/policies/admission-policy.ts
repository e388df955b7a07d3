// Admission as the last policy of the chain: in, or denied at the door (design/admission 1).
import type * as admissions from "../../admission/admission.js";
import type * as routePlan from "../../routing/route-plan.js";
import type * as policyChain from "./policy-chain.js";

/** The last policy of the chain. */
export class AdmissionPolicy implements policyChain.Policy {
  readonly name = "admission";
  constructor(private readonly admission: admissions.Admission) {}

  apply(plan: routePlan.RoutePlan): routePlan.Rejection | null {
    return this.admission.decide(plan);
  }
}
