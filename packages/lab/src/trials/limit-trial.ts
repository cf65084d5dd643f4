import { createSeededRandom } from '@orioleslip/core'
import { createTargetGate } from '@orioleslip/node'
import { createSimClock } from './sim-clock.js'
import { createTarget } from './target.js'

export type LimitSpec = {
  name: string
  slots: number
  announced: number
  connections: number
  /** Work of each operation in ms and its share of the calls. */
  ops: Array<{ workMs: number, share: number }>
  /** Factor on the work from 30 s on. */
  slowness: number
  seed: number
}

export type LimitReport = {
  /** Mean limit in each period of 5 s. */
  limits: number[]
  /** Completed calls per second from 20 s to 30 s, and from 50 s to 60 s, as a share of what the slots can do. */
  use: [number, number]
  shed: number
}

const END_MS = 60_000
const PERIOD_MS = 5000
const SLOW_MS = 30_000

/** Keeps a target under more load than it can take for 60 s and reports the learnt limit. */
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

  // Callers that call again as soon as they have an answer keep the gate's queue filled.
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
      const res = await target.run({ workMs: op.workMs, signal, downstream: async () => true })
      const endMs = clock.nowMs()
      entered.permit.release({ kind: res === 'shed' ? 'targetShed' : 'answered', latencyMs: endMs - startMs })
      if (res === 'shed') { shed++; if (shed % 1000 === 0) console.log(clock.nowMs(), gate.load()) } else if (endMs >= 20_000 && endMs < SLOW_MS) done[0]! += op.workMs
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
  clock.after(SLOW_MS, () => { target.setSlowness(spec.slowness) })
  const failures: unknown[] = []
  for (let i = 0; i < spec.announced * 2 + 16; i++) caller().catch((err: unknown) => { failures.push(err) })
  await clock.runUntil(END_MS - 1)
  if (failures.length > 0) throw failures[0]
  const use = done.map((workMs) => workMs / (10_000 * spec.slots)) as [number, number]
  return { limits: limits.map((limit) => Math.round(limit * 10) / 10), use, shed: Math.round(shed * meanWorkMs) / meanWorkMs }
}
