/** The servers of a control node: operators' calls and the directory for the outside, links for other nodes (design 6.2, 4.3, 3.1). */
import * as net from "node:net";
import * as link from "../wire/link.js";
import * as listen from "../wire/listen.js";
import type * as types from "../wire/types.js";
import type * as settings from "../settings/settings.js";
import type * as tree from "../supervisor/tree.js";
import type * as schema from "../wire/schema.js";
import * as directory from "./directory/directory.js";
import * as homeRegions from "./directory/home-regions.js";
import * as serve from "../wire/serve.js";

const RESOLVE_PATH = "/-/resolve";

/** Serves operators' calls, where the settings name an address. */
export function operatorServer(clock: types.Clock, startup: settings.Settings, reply: serve.RequestHandler): serve.JsonServer {
  return serve.child(clock, "operator", startup.bind_addresses.control_plane, reply);
}

/** What the directory reads of its control node. */
export interface DirectorySource extends Pick<directory.DirectoryView, "routers" | "drains"> {
  /** The newest chosen value. */
  chosen(): schema.Value | null;
}

/** Serves the directory to clients that look for a router. */
export function directoryServer(clock: types.Clock, startup: settings.Settings, source: DirectorySource): serve.JsonServer {
  const regions = new homeRegions.HomeRegions(() => source.chosen());
  const view = { ...source, homeRegionsOf: (hostname: string) => regions.ofHost(hostname), maxTtlS: startup.bounds.ttl_max_s };
  return serve.child(clock, "directory", startup.bind_addresses.directory, (request) => {
    if (request.path === RESOLVE_PATH) return directory.resolve(view, request.query);
    return { status: 404, json: { message: `no call ${request.path}; ask ${RESOLVE_PATH}` } };
  });
}

/** Accepts the links that other control nodes and routers open. */
export function linkServer(clock: types.Clock, address: string, handlers: link.Handlers): tree.Child {
  const server = net.createServer((socket) => new link.Link(clock, socket, handlers));
  return {
    name: "internal",
    start: () => listen.listen(server, address),
    stop: () => {
      server.close();
    },
  };
}
