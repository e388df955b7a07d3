#!/usr/bin/env node
// Starts fast (design 12.1): a role loads its own file only, commands load theirs.
import * as path from "node:path";

const [, , role, ...rest] = process.argv;
const isRole = (role === "router" || role === "control") && rest.length === 0;
const loaded: Record<string, () => void> = require(path.join(__dirname, isRole ? "roles.js" : "commands.js"));
if (isRole) loaded[role]();
