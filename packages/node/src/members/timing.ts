/** Period of the failure detector: each member probes one other per period. */
export const PROBE_INTERVAL_MS = 1000
/** Wait for a direct ack. Two region delays are 40 ms; the rest allows for a busy event loop. */
export const DIRECT_ACK_MS = 400
/** Wait of a helper for the ack of an indirect probe; direct wait, helper wait and two delays fit in one period. */
export const INDIRECT_ACK_MS = 400
/** Members asked to probe on behalf of another. */
export const INDIRECT_HELPERS = 3
/** Period of gossip; datagrams are sent only while updates wait. A change reaches 770 members in about 6 periods. */
export const GOSSIP_INTERVAL_MS = 200
/** Members that get each gossip datagram. */
export const GOSSIP_FANOUT = 3
/** Period of the digest exchange with one random member once the table is settled. */
export const SYNC_INTERVAL_MS = 10_000
/** First period of the digest exchange after a join; it doubles up to `SYNC_UNSETTLED_MS` until no difference is found. */
export const SYNC_FIRST_MS = 500
export const SYNC_UNSETTLED_MS = 3000
/** Failed members and unreachable seeds tried again per probe period, so that separated halves merge by themselves. */
export const RECONNECTS_PER_PERIOD = 2
/** Gap in the own event loop after which this process counts as having been frozen. */
export const FREEZE_GAP_MS = 1000
/** Time for which a failed member stays known. */
export const FORGET_FAILED_MS = 600_000
/** Time for which a member that left stays known, so that late updates do not bring it back. */
export const FORGET_LEFT_MS = 60_000
/** Largest datagram; stays below the usual path MTU of 1500 bytes. */
export const MAX_DATAGRAM_BYTES = 1400
/** Room for updates in probes and acks. */
export const PIGGYBACK_BYTES = 500
/** Sustained bytes/s for gossip and table summaries. As much is received; with probes and polling that stays within 8 KB/s. */
export const GOSSIP_BYTES_PER_SECOND = 2500
/** Bytes that may be sent above the sustained rate, for the loss or return of a failure domain. */
export const GOSSIP_BURST_BYTES = 256 * 1024
/** Part of the burst that only changes of targets may use, so that a mass failure does not delay them. */
export const URGENT_RESERVE_BYTES = 64 * 1024

/** Time for which a suspect may refute, in ms; grows with the logarithm of the fleet's size. */
export function suspicionMs (members: number): number {
  return Math.max(2000, 600 * Math.log2(members + 1))
}

/**
 * Number of copies of an update, sent and received, after which a member stops passing it on. Changes of targets get the full
 * number. Others get half, because a lost one is repaired by digest and hundreds of them come at once when a region is cut off.
 */
export function sendBudget (members: number, urgent: boolean): number {
  return Math.ceil((urgent ? 3 : 1.5) * Math.log2(members + 1))
}
