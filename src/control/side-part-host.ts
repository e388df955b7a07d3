/** What a part with a register of its own, batches or duties, needs of the control node around it. */
import type * as feedPublisher from "../feed/feed-publisher.js";
import type * as settings from "../settings/settings.js";
import type * as link from "../wire/link.js";
import type * as schema from "../wire/schema.js";
import type * as membership from "./members/membership.js";
import type * as fleetObserver from "./platform/fleet-observer.js";
import type * as sideRegister from "./side-register.js";

/** The control node as such a part sees it. */
export interface SidePartHost extends sideRegister.SideRegisterHost {
  readonly startup: settings.Settings;
  readonly handlers: link.Handlers;
  readonly feed: feedPublisher.FeedPublisher;
  readonly members: membership.Membership;
  readonly fleetObserver: fleetObserver.FleetObserver;
  /** The newest chosen value of the configuration's register. */
  configuration(): schema.Value | null;
}
