/** How a proposer reaches the acceptors: over links to other nodes, or within its own process. */
import type * as schema from "../wire/schema.js";

/** Sends the requests of both phases to one voter at a time; a reply of null means that none came. */
export interface AcceptorClient {
  prepare(voter: schema.Voter, request: schema.Prepare): Promise<schema.Vote | null>;
  accept(voter: schema.Voter, request: schema.Accept): Promise<schema.Vote | null>;
  /** The ballot number that this node's own acceptor is prepared for, if it has one: it rejects a lower number. */
  preparedBallotNumber?(): number;
}
