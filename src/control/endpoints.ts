// The control node's two servers for the outside: the operator's calls and the directory (design 6.2, 4.3).
import type * as settings from "../startup/settings.js";
import type * as supervisor from "../supervisor/tree.js";
import * as directory from "./directory.js";
import * as serve from "./serve.js";

const RESOLVE_PATH = "/-/resolve";

export function operatorChild(startup: settings.Settings, reply: serve.Reply): supervisor.Child {
  return serve.child("operator", startup.bind_addresses.control_plane, reply);
}

export function directoryChild(startup: settings.Settings, view: directory.DirectoryView): supervisor.Child {
  return serve.child("directory", startup.bind_addresses.directory, resolve);
  function resolve(asked: serve.Asked): serve.Told {
    if (asked.path === RESOLVE_PATH) return directory.resolve(view, asked.query);
    return { status: 404, json: { message: `no call ${asked.path}; ask ${RESOLVE_PATH}` } };
  }
}
