/**
 * The parts of one control node and how they are connected (design 4, 5, 6): construction, the handlers of each part on
 * links, and the events that one part sends to another. What a node does with them is in control-program.ts.
 */
import * as link from "../wire/link.js";
import type * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as wallClock from "../runtime/wall-clock.js";
import * as settings from "../settings/settings.js";
import * as configItems from "../config/config-items.js";
import * as dialer from "../feed/dialer.js";
import * as feedPublisher from "../feed/feed-publisher.js";
import * as feedTopics from "../feed/feed-topics.js";
import * as registerValue from "../register/register-value.js";
import type * as replicatedCounters from "../tallies/replicated-counters.js";
import * as batches from "./batches/batches.js";
import * as duties from "./duties/duties.js";
import * as leaseServer from "./leases/lease-server.js";
import * as membership from "./members/membership.js";
import * as sessionHandlers from "./members/session-handlers.js";
import * as fleetObserver from "./platform/fleet-observer.js";
import * as singletonRole from "./platform/singleton-role.js";
import * as registerReplica from "./register-replica.js";
import type * as sidePartHost from "./side-part-host.js";
import * as talliesHost from "./tallies-host.js";
import * as quorumContact from "./voters/quorum-contact.js";
import * as voterManager from "./voters/voter-manager.js";

/** The control node around the parts. None of its functions is called before all parts are made. */
export interface ControlHost {
  readonly clock: types.Clock;
  /** Of this process. */
  readonly incarnation: string;
  /** Of this node's links. */
  readonly address: string;
  readonly handlers: link.Handlers;
  /** Addresses of control nodes from the settings. */
  readonly seeds: string[];
  /** The settings in force. */
  settings(): settings.Settings;
  describe(): schema.NodeInfo;
  /** This control node and those it has links to. */
  controls(): schema.ControlInfo[];
  /** This node and the control nodes that have a session here. */
  connectedControls(): schema.NodeInfo[];
  /** Whether a majority confirms this node and it isn't draining. */
  isConfirmed(): boolean;
  eligibility(): singletonRole.Eligibility;
  /** Contact with a majority was found or lost: peers and routers are told at once. */
  publishHeartbeats(): void;
}

/** Everything that one control node runs but its disk and its servers. */
export interface ControlParts {
  readonly dial: dialer.Dialer;
  readonly members: membership.Membership;
  readonly feed: feedPublisher.FeedPublisher;
  readonly replica: registerReplica.RegisterReplica;
  readonly leases: leaseServer.LeaseServer;
  readonly contact: quorumContact.QuorumContact;
  readonly fleetObserver: fleetObserver.FleetObserver;
  readonly voterManager: voterManager.VoterManager;
  readonly tallies: replicatedCounters.ReplicatedCounters;
  /** Null where the setting `batches` is off. */
  readonly batches: batches.Batches | null;
  /** Null where the settings name no duties. */
  readonly duties: duties.Duties | null;
}

/** Makes the parts of a control node, in the order in which they depend on each other, and connects them. */
export function makeParts(host: ControlHost): ControlParts {
  const { clock, incarnation, address, handlers, seeds } = host;
  const startup = host.settings();
  const dial = new dialer.Dialer(clock, address, handlers, () => host.describe(), link.LINK_TIMEOUT_MS);
  const members = new membership.Membership(clock, link.LINK_TIMEOUT_MS, incarnation);
  const feed = new feedPublisher.FeedPublisher(incarnation);
  dial.addAddresses(seeds);
  const initialValue = registerValue.initialValue(startup.bootstrap ? seeds : []);
  const replica = new registerReplica.RegisterReplica(clock, { incarnation, address, initialValue }, dial);
  const leases = new leaseServer.LeaseServer(clock, incarnation, startup.bounds, replica);
  const contact = new quorumContact.QuorumContact(clock, replica, dial, (voterEpoch, sentAt, reply) =>
    leases.recordFenceReply(voterEpoch, sentAt, reply),
  );
  const observer = new fleetObserver.FleetObserver(clock, startup, dial, feed, replica, members, () => host.eligibility());
  const manager = new voterManager.VoterManager(clock, replica, () => host.connectedControls());
  const made = { dial, members, feed, replica, leases, contact, fleetObserver: observer, voterManager: manager };
  const connected = {
    ...made,
    tallies: talliesHost.makeTallies({ clock, incarnation, address, handlers, ...made, settings: () => host.settings() }),
    batches: makeBatches(host, made),
    duties: makeDuties(host, made),
  };
  const { duties: dutiesMade } = connected;
  if (dutiesMade) observer.withheld = () => dutiesMade.withheldVersions();
  connect(host, connected);
  return connected;
}

/** The parts that the others are made of. */
type CoreParts = Omit<ControlParts, "tallies" | "batches" | "duties">;

function sidePartHostOf(host: ControlHost, made: CoreParts): sidePartHost.SidePartHost {
  const { incarnation, address, handlers, seeds } = host;
  const { dial, feed, members, fleetObserver: observer, replica } = made;
  return {
    incarnation,
    address,
    handlers,
    seeds,
    startup: host.settings(),
    dial,
    feed,
    members,
    fleetObserver: observer,
    configuration: () => replica.chosen,
    connectedControls: () => host.connectedControls(),
  };
}

function makeBatches(host: ControlHost, made: CoreParts): batches.Batches | null {
  return batches.makeBatches(host.clock, { ...sidePartHostOf(host, made), isConfirmed: () => host.isConfirmed() });
}

function makeDuties(host: ControlHost, made: CoreParts): duties.Duties | null {
  const rank = (): number | null => (host.eligibility() === singletonRole.CONFIRMED ? made.fleetObserver.watcherRank() : null);
  return duties.makeDuties(host.clock, { ...sidePartHostOf(host, made), rank, wallClock: wallClock.timeOfDayMs });
}

/** Registers the parts' handlers and their listeners on each other. */
function connect(host: ControlHost, made: ControlParts): void {
  const { handlers } = host;
  const { dial, members, feed, replica, contact } = made;
  const splitter = new configItems.ConfigSplitter();
  replica.registerHandlers(handlers);
  made.fleetObserver.registerHandlers(handlers);
  made.leases.registerHandlers(handlers, contact);
  sessionHandlers.registerHandlers({
    handlers,
    members,
    dial,
    replica,
    contact,
    describe: () => host.describe(),
    controls: () => host.controls(),
    feedIncarnation: feed.incarnation,
  });
  dial.on("up", () => members.publishControls(host.controls()));
  feed.registerHandlers(handlers);
  contact.on("confirmed", () => host.publishHeartbeats());
  contact.on("lost", () => host.publishHeartbeats());
  replica.on("chosen", (value) => feed.publishSnapshot(feedTopics.REGISTER_TOPIC, splitter.split(value), types.small(value.epoch)));
}
