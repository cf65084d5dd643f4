import { createSeededRandom } from '@orioleslip/core'
import { createTargetGate } from '@orioleslip/node'
import { createSimClock } from './sim-clock.js'
import { createTarget } from './target.js'

/** Parameters of a trial; `slots` is the target's actual concurrency, `announced` the concurrency that it announces to the gate. */
export type LimitSpec = {
  name: string
  slots: number
  announced: number
  connections: number
  /** Work of each operation in ms and its share of the calls. */
  ops: Array<{ workMs: number, share: number }>
  /** Factor by which work takes longer after 30 s. */
  slowness: number
  seed: number
}

/** Result of a trial. */
export type LimitReport = {
  /** Mean concurrency limit in each period of 5 s. */
  limits: number[]
  /** Completed work from 20 s to 30 s and from 50 s to 60 s, as a share of the capacity of the slots. */
  utilization: [number, number]
  shed: number
}

const END_MS = 60_000
const PERIOD_MS = 5000
const SLOWDOWN_MS = 30_000

/** Overloads a target for 60 s of simulated time and reports the limit that its gate has estimated. */
export async function runLimitTrial (spec: LimitSpec): Promise<LimitReport> {
  const clock = createSimClock()
  const random = createSeededRandom(spec.seed)
  const target = createTarget({ slots: spec.slots, connections: spec.connections, workMs: 0 }, clock, random)
  const gate = createTargetGate({ clock })
  gate.targetStarted(spec.announced)
  const limits = new Array<number>(END_MS / PERIOD_MS).fill(0)
  const done = [0, 0]
  let shed = 0
  const meanWorkMs = spec.ops.reduce((sum, op) => sum + op.workMs * op.share, 0)

  // Closed-loop callers: each one sends its next call as soon as it has a response, which keeps the gate's queue filled.
  const caller = async (): Promise<void> => {
    while (clock.nowMs() < END_MS) {
      let draw = random.next()
      const op = spec.ops.find((candidate) => (draw -= candidate.share) < 0) ?? spec.ops[0]!
      const signal = new AbortController().signal
      const entered = await gate.enter({ priority: 10, opKey: `${op.workMs}`, remainingMs: 1e9, signal })
      if (entered.kind === 'refused') {
        await clock.sleep(20)
        continue
      }
      const startMs = clock.nowMs()
      const result = await target.run({ workMs: op.workMs, signal, downstream: async () => true })
      const endMs = clock.nowMs()
      entered.permit.release({ kind: result === 'shed' ? 'targetShed' : 'answered', latencyMs: endMs - startMs })
      if (result === 'shed') { shed++; if (shed % 1000 === 0) console.log(clock.nowMs(), gate.load()) } else if (endMs >= 20_000 && endMs < SLOWDOWN_MS) done[0]! += op.workMs
      else if (endMs >= 50_000) done[1]! += op.workMs * spec.slowness
    }
  }
  const sample = () => {
    limits[Math.floor(clock.nowMs() / PERIOD_MS)]! += gate.load().limit * 20 / PERIOD_MS
    clock.after(20, sample)
  }
  const tick = () => {
    gate.tick()
    clock.after(100, tick)
  }
  clock.after(0, sample)
  clock.after(100, tick)
  clock.after(SLOWDOWN_MS, () => { target.setSlowness(spec.slowness) })
  const failures: unknown[] = []
  for (let i = 0; i < spec.announced * 2 + 16; i++) caller().catch((err: unknown) => { failures.push(err) })
  await clock.runUntil(END_MS - 1)
  if (failures.length > 0) throw failures[0]
  const utilization = done.map((workMs) => workMs / (10_000 * spec.slots)) as [number, number]
  return { limits: limits.map((limit) => Math.round(limit * 10) / 10), utilization, shed: Math.round(shed * meanWorkMs) / meanWorkMs }
}
