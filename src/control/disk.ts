// The voter's disk at start: its record, or a new identity on a blank one (design 5.3, 5.4).
import * as crypto from "node:crypto";
import * as log from "../startup/log.js";
import * as registers from "../register/value.js";
import * as voters from "../register/voter.js";
import * as ring from "../store/ring.js";
import * as schema from "../wire/schema.js";

export interface Opened {
  voter: voters.Voter;
  close(): Promise<void>;
}

export interface Place {
  folder: string;
  address: string;
  seeds: readonly string[];
  isBootstrap: boolean;
}

function blank(place: Place): schema.Disk {
  // Only the very first start knows the first value without asking anybody.
  const isFirst = place.isBootstrap && place.seeds.includes(place.address);
  const disk = isFirst ? registers.firstDisk(place.address) : `disk:${crypto.randomBytes(9).toString("base64url")}`;
  const accepted = isFirst ? { ballot: registers.NO_BALLOT, value: registers.firstValue(place.seeds) } : null;
  log.state(`store: blank disk, new identity ${disk}`);
  return { disk, promised: registers.NO_BALLOT, accepted };
}

export async function open(place: Place): Promise<Opened> {
  const { ring: kept, newest } = await ring.Ring.open(ring.realFiles, place.folder);
  const state = newest ? voters.Voter.restore(newest) : blank(place);
  if (!newest) await kept.write(schema.disk.toBuffer(state));
  return { voter: new voters.Voter(kept, state), close: kept.close.bind(kept) };
}
