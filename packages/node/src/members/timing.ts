/** Period of the failure detector, in ms: each member probes one other per period. */
export const PROBE_INTERVAL_MS = 1000
/** Wait for a direct ack, in ms. A round trip between regions takes 40 ms; the rest allows for a busy event loop. */
export const DIRECT_ACK_MS = 400
/** Wait of a helper for the ack of an indirect probe, in ms; direct wait, helper wait and two network delays fit into one period. */
export const INDIRECT_ACK_MS = 400
/** Number of members that are requested to probe on behalf of another. */
export const INDIRECT_HELPERS = 3
/** Period of gossip, in ms; datagrams are sent only while updates are queued. A change reaches 770 members in about 6 periods. */
export const GOSSIP_INTERVAL_MS = 200
/** Number of members to which each gossip datagram is sent. */
export const GOSSIP_FANOUT = 3
/** Period of the digest exchange with a random member after a comparison has found no difference, in ms. */
export const SYNC_INTERVAL_MS = 10_000
/** First period of the digest exchange after a join, in ms; it doubles up to `SYNC_UNSETTLED_MS` until no difference is found. */
export const SYNC_FIRST_MS = 500
/** Longest period of the digest exchange until no difference is found, in ms. */
export const SYNC_UNSETTLED_MS = 3000
/** Number of failed members and unreachable seeds that are pinged per probe period, so that a fleet merges again after a partition. */
export const RECONNECTS_PER_PERIOD = 2
/** Delay of this process's event loop after which it counts as having been frozen, in ms. */
export const FREEZE_GAP_MS = 1000
/** Retention time of a failed member, in ms. */
export const FORGET_FAILED_MS = 600_000
/** Retention time of a member that left, in ms, so that late updates do not add it again. */
export const FORGET_LEFT_MS = 60_000
/** Largest datagram, in bytes; stays below the usual path MTU of 1500 bytes. */
export const MAX_DATAGRAM_BYTES = 1400
/** Maximum size of the updates in probes and acks, in bytes. */
export const PIGGYBACK_BYTES = 500
/** Sustained rate of gossip and table exchange. About as much is received; with probes and polling the total stays within 8 KB/s. */
export const GOSSIP_BYTES_PER_SECOND = 2500
/** Bytes that may be sent above the sustained rate, for the failure or recovery of a failure domain. */
export const GOSSIP_BURST_BYTES = 256 * 1024
/** Part of the burst that is reserved for changes of targets, so that a mass failure does not delay them. */
export const URGENT_RESERVE_BYTES = 64 * 1024

/** Time that a suspect has to refute, in ms; grows with the logarithm of the number of members. */
export function suspicionMs (members: number): number {
  return Math.max(2000, 600 * Math.log2(members + 1))
}

/**
 * Number of copies of an update, sent and received, after which a member stops disseminating it. Changes of targets get the full number.
 * Others get half: a lost one is repaired by digest, and hundreds occur at the same time when a region is disconnected.
 */
export function sendBudget (members: number, urgent: boolean): number {
  return Math.ceil((urgent ? 3 : 1.5) * Math.log2(members + 1))
}
