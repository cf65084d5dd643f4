import { createSeededRandom, systemClock } from '@orioleslip/core'
import type { TargetState } from '@orioleslip/core'
import type { Members } from '@orioleslip/node'
import { serviceOf, startFleet } from './fleet.js'

/** Bytes of the IP and UDP headers of a datagram. */
export const IP_UDP_HEADER_BYTES = 28
const POLL_MS = 10
const TIMEOUT_MS = 60_000
const SETTLE_MS = 6000
const CHANGES = 10

/** Measurements of one fleet size; rates are per member, bytes include IP and UDP headers. */
export type SizeMeasurement = {
  size: number
  joinMs: number
  sentBytesPerSecond: number
  receivedBytesPerSecond: number
  sentMessagesPerSecond: number
  receivedMessagesPerSecond: number
  /** Share of one core that the process with all members uses, in percent. */
  processCpuPercent: number
  /** Time until a changed target state has reached all members. */
  changeMeanMs: number
  changeMaxMs: number
  /** Bytes that each member sends for one change, above the idle rate. */
  changeSentBytes: number
  /** Mean size of a datagram while nothing changes, headers included. */
  meanMessageBytes: number
}

async function waitUntil (condition: () => boolean): Promise<number> {
  const startMs = systemClock.nowMs()
  while (!condition()) {
    if (systemClock.nowMs() - startMs > TIMEOUT_MS) throw new Error(`the members did not converge within ${TIMEOUT_MS} ms`)
    await systemClock.sleep(POLL_MS)
  }
  return systemClock.nowMs() - startMs
}

function trafficTotals (fleet: Members[]) {
  const sum = { sentBytes: 0, sentMessages: 0, receivedBytes: 0, receivedMessages: 0 }
  for (const member of fleet) {
    const stats = member.stats()
    sum.sentBytes += stats.sentBytes + IP_UDP_HEADER_BYTES * stats.sentMessages
    sum.sentMessages += stats.sentMessages
    sum.receivedBytes += stats.receivedBytes + IP_UDP_HEADER_BYTES * stats.receivedMessages
    sum.receivedMessages += stats.receivedMessages
  }
  return sum
}

async function measureIdle (fleet: Members[], seconds: number) {
  const before = trafficTotals(fleet)
  const cpuBefore = process.cpuUsage()
  const startMs = systemClock.nowMs()
  await systemClock.sleep(seconds * 1000)
  const elapsedS = (systemClock.nowMs() - startMs) / 1000
  const cpu = process.cpuUsage(cpuBefore)
  const after = trafficTotals(fleet)
  const perMember = (name: keyof typeof after) => (after[name] - before[name]) / fleet.length / elapsedS
  return {
    sentBytesPerSecond: perMember('sentBytes'),
    receivedBytesPerSecond: perMember('receivedBytes'),
    sentMessagesPerSecond: perMember('sentMessages'),
    receivedMessagesPerSecond: perMember('receivedMessages'),
    processCpuPercent: (cpu.user + cpu.system) / 1e6 / elapsedS * 100,
    meanMessageBytes: (after.sentBytes - before.sentBytes) / (after.sentMessages - before.sentMessages)
  }
}

async function measureChanges (fleet: Members[], seed: number, idleBytesPerSecond: number) {
  const random = createSeededRandom(seed)
  const timesMs: number[] = []
  let extraBytes = 0
  for (let n = 0; n < CHANGES; n++) {
    const nodes = fleet.flatMap((member, i) => member.self().target === undefined ? [] : [{ member, i }])
    const chosen = nodes[random.int(nodes.length)]
    if (chosen === undefined) break
    const { member, i } = chosen
    const state: TargetState = member.self().target?.state === 'ready' ? 'leaving' : 'ready'
    const { vmId } = member.self()
    const before = trafficTotals(fleet)
    const startMs = systemClock.nowMs()
    member.announceTarget({ service: serviceOf(i), capacity: 55, state })
    timesMs.push(await waitUntil(() => fleet.every((other) => other.ofService(serviceOf(i)).some(({ record }) =>
      record.vmId === vmId && record.target?.state === state))))
    // Includes the remaining transmissions of this update, which members repeat up to a limit.
    await systemClock.sleep(3000)
    const elapsedS = (systemClock.nowMs() - startMs) / 1000
    extraBytes += (trafficTotals(fleet).sentBytes - before.sentBytes) / fleet.length - idleBytesPerSecond * elapsedS
  }
  return {
    changeMeanMs: timesMs.reduce((sum, ms) => sum + ms, 0) / timesMs.length,
    changeMaxMs: Math.max(...timesMs),
    changeSentBytes: Math.max(0, extraBytes / timesMs.length)
  }
}

/** Starts a fleet of one size over loopback, measures it, and stops it; throws when the members don't converge within a minute. */
export async function measureSize (size: number, basePort: number, seconds: number, seed: number): Promise<SizeMeasurement> {
  const fleet = await startFleet(size, basePort, seed)
  try {
    const joinMs = await waitUntil(() => fleet.every((member) => member.knownCount() === size))
    await systemClock.sleep(SETTLE_MS)
    const idle = await measureIdle(fleet, seconds)
    const changes = await measureChanges(fleet, seed, idle.sentBytesPerSecond)
    return { size, joinMs, ...idle, ...changes }
  } finally {
    for (const member of fleet) member.stop()
  }
}
