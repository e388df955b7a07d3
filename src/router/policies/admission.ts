// Admission as the last policy of the chain: in, or denied at the door (design/admission 1).
import type * as admissions from "../../admission/admission.js";
import type * as plans from "../plan.js";

/** The last policy of the chain. */
export class AdmissionPolicy implements plans.Policy {
  readonly name = "admission";
  constructor(private readonly admission: admissions.Admission) {}

  apply(plan: plans.Plan): plans.Rejection | null {
    return this.admission.decide(plan);
  }
}
