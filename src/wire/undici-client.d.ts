declare module "undici/lib/dispatcher/client.js" {
  export { Client as default } from "undici";
}
declare module "undici/lib/core/connect.js" {
  export { buildConnector as default } from "undici";
}
