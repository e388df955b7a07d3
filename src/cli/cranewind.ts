#!/usr/bin/env node
/**
 * The launcher. Starts fast (design 12.1): a role loads its own file only, commands load theirs.
 *
 * `build.mjs` puts the two files beside this one; `roles.js` exports one function per role, while loading
 * `commands.js` runs the command line.
 */
import * as nodeModule from "node:module";
import * as path from "node:path";

type RoleFile = Record<string, (options: { metrics?: string }) => void>;

const [, , role, option, metrics, ...rest] = process.argv;
const isPlain = option === undefined || (option === "--metrics" && metrics !== undefined && rest.length === 0);
const isRole = (role === "router" || role === "control") && isPlain;
// Until the role listens for it, SIGHUP would end the process. The role reads its settings after this, so none are missed.
if (isRole) process.on("SIGHUP", () => undefined);
const load = nodeModule.createRequire(__filename);
const loaded = load(path.join(__dirname, isRole ? "roles.js" : "commands.js")) as RoleFile;
if (isRole) loaded[role]({ metrics });
