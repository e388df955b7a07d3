/** What a role's process loads, and nothing more (design 12.1). */
export { startRouter as router, startControl as control } from "./roles.js";
