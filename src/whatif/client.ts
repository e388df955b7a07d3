// A client of an overload day: a deadline, returns as told, one router a try (design/admission 7).
import type * as fleets from "../router/fleet.js";
import type * as plans from "../router/plan.js";
import type * as tickets from "../admission/ticket.js";
import type * as requests from "../router/request.js";
import type * as types from "../wire/types.js";
import type * as batches from "./batch.js";
import type * as scenarios from "./scenario.js";
import * as systems from "./system.js";

const MOST_TRIES = 4;
const MOST_SENDS = 2;
const HONOURED = 1 / 3;
const LEAST_LEFT_MS = 50;

export type Outcome = "in_aim" | "late" | "too_late" | "refused" | "open";

/** One request of a client, all its tries together. */
export interface Asked {
  kind: string;
  at: number;
  size: number;
  outcome: Outcome;
  tries: number;
  /** How long each refusal took, and the part of places free at that moment. */
  refusedMs: number[];
  retryAfterS: number[];
  unused: number[];
  /** Times that a runner took it in; a second is never needed for what is not repeated. */
  admitted: number;
  worth: number;
  session: string;
}

export interface Day {
  readonly world: types.World;
  readonly runners: ReadonlyMap<string, batches.BatchRunner>;
  readonly routers: readonly systems.ModelRouter[];
  pickRouter(): systems.ModelRouter;
  lagOf(router: systems.ModelRouter): number;
  /** The part of all places that is free. */
  unused(): number;
}

/** One request of a client and its returns. */
export class Try {
  private startedAt = 0;
  private readonly deadline: number;
  private ids = 0;

  constructor(
    private readonly day: Day,
    private readonly scenario: scenarios.Scenario,
    private readonly kind: scenarios.Kind,
    private readonly parts: plans.Part[],
    private readonly events: number,
    private readonly asked: Asked,
  ) {
    this.deadline = day.world.now() + kind.deadline_ms;
  }

  start(): void {
    this.startedAt = this.day.world.now();
    this.asked.tries += 1;
    const router = this.day.pickRouter();
    this.day.world.after(this.day.lagOf(router), this.send.bind(this, router, new Set<string>()));
  }

  private send(router: systems.ModelRouter, tried: Set<string>): void {
    const entry = router.chooser.table!.find("whatif", `/${this.kind.name}/`)!;
    this.ids += 1;
    const request = systems.requestOf(entry, `r-${this.asked.at}-${this.ids}`, this.parts, this.deadline, this.events);
    router.chooser.countRequest("model");
    const choice = router.chooser.choose(request, tried, tried.size);
    if ("status" in choice) {
      this.refused(choice.retryAfterS);
      return;
    }
    choice.runner.connections.give(choice.connection, true);
    const model = this.day.runners.get(choice.runner.id)!;
    choice.runner.inflight += 1;
    const trip = router.region === model.region ? 0.5 : this.scenario.trip_ms;
    const arrive = this.submit.bind(this, router, choice.runner, model, choice.ticket, tried, request, trip);
    this.day.world.after(trip, arrive);
  }

  private submit(
    router: systems.ModelRouter,
    seen: fleets.Runner,
    model: batches.BatchRunner,
    ticket: tickets.Ticket,
    tried: Set<string>,
    request: requests.Request,
    trip: number,
  ): void {
    const { day, kind } = this;
    const tokens = systems.tellReading(day.world, day.routers, router, model.id, request);
    const sentAt = day.world.now();
    const first = this.first.bind(this, trip);
    const ended = this.ended.bind(this);
    let hasFirst = false;
    const isTaken = model.submit({
      parts: this.parts,
      events: this.events,
      priority: kind.priority,
      deadline: this.deadline,
      first(): void {
        hasFirst = true;
        router.known.learn(tokens, day.world.now() - sentAt);
        seen.received(day.world.now());
        ticket.first();
        first();
      },
      ended(isWhole): void {
        seen.inflight -= 1;
        ticket.end(isWhole ? "complete" : "stopped");
        ended(isWhole && hasFirst);
      },
    });
    if (isTaken) {
      this.asked.admitted += 1;
      return;
    }
    seen.inflight -= 1;
    ticket.end("not_run");
    seen.denied(day.world.now(), false);
    tried.add(model.id);
    if (tried.size < MOST_SENDS) this.send(router, tried);
    else this.refused(0.3);
  }

  private first(trip: number): void {
    const firstMs = this.day.world.now() + trip - this.startedAt;
    const isInAim = firstMs <= this.kind.aim_ms;
    this.asked.outcome = isInAim ? "in_aim" : "late";
    this.asked.worth = !isInAim ? 0.3 : this.asked.tries === 1 ? 1 : 0.5;
  }

  private ended(isWhole: boolean): void {
    if (isWhole) return;
    this.asked.outcome = "too_late";
    this.asked.worth = 0;
  }

  private refused(retryAfterS: number): void {
    const { world } = this.day;
    this.asked.refusedMs.push(world.now() - this.startedAt);
    this.asked.retryAfterS.push(retryAfterS);
    this.asked.unused.push(this.day.unused());
    const left = this.deadline - world.now();
    const waitMs = Math.min(retryAfterS * 1000, left * HONOURED);
    if (this.asked.tries >= MOST_TRIES || left - waitMs < LEAST_LEFT_MS) this.asked.outcome = "refused";
    else world.after(waitMs, this.start.bind(this));
  }
}
