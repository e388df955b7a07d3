declare module "avsc/lib/types.js" {
  export { Type } from "avsc";
}
