import { notRun, unknownOutcome, type Random } from '@orioleslip/core'
import {
  createIdempotencyGuard, createRegisterClient, createResponseRecorder, type ControlCall, type GuardedCall, type GuardedRun
} from '@orioleslip/node'
import type { CallerRequest, Oracle, CallOutcome } from './oracle.js'
import type { SimClock } from './sim-clock.js'
import type { SimProcess } from './sim-process.js'
import type { InjectedDefect } from './sim-register.js'

/** Head of a request as the executor receives it from an entry node. */
export type RequestHead = Omit<GuardedCall, 'deadlineMs' | 'signal'> & { request: CallerRequest, remainingMs: number }

/** Parts of the simulation that an executor uses. */
export type SimExecutorOptions = {
  sim: SimClock
  process: SimProcess
  oracle: Oracle
  vmId: string
  controlCall: ControlCall
  injectedDefect?: InjectedDefect | undefined
}

const silentLog = { warn: () => {} }
const noopRun: GuardedRun = { finished: async () => {}, notSent: async () => {} }

/** Creates an executor node: the product's guard, and a target that responds, loses responses or refuses connections. */
export function createSimExecutor ({ sim, process, oracle, vmId, controlCall, injectedDefect }: SimExecutorOptions) {
  const guard = createIdempotencyGuard({ register: createRegisterClient(controlCall), clock: process.clock, log: silentLog, vmId })

  // Runs outside of the simulated process, since bytes that were sent reach the target even if the node dies.
  async function target (head: RequestHead, random: Random): Promise<Buffer | undefined> {
    const kind = random.int(6)
    await sim.sleep(1 + random.int(3))
    if (kind === 0) return undefined
    const body = oracle.run(head.request, head.token, sim.nowMs())
    await sim.sleep(kind === 1 ? 30_000 : 5 + random.int(200))
    return kind === 2 ? undefined : body
  }

  async function dispatch (head: RequestHead, run: GuardedRun, random: Random): Promise<CallOutcome> {
    if (random.int(8) === 0) {
      const released = run.notSent()
      if (random.int(2) === 0) await released
      return { kind: 'refused', refusal: notRun('target-lost', 'connection refused') }
    }
    const body = await process.enter(target(head, random))
    if (body === undefined) {
      if (injectedDefect === 'release-after-dispatch') await run.notSent()
      return { kind: 'refused', refusal: unknownOutcome('target-lost', 'the connection was lost after the request was sent') }
    }
    const headers = ['content-type', 'text/plain']
    const recorder = createResponseRecorder(201, headers)
    recorder.add(body)
    const recorded = run.finished(recorder.done())
    if (random.int(2) === 0) await recorded
    return { kind: 'complete', answer: { status: 201, headers, body } }
  }

  return {
    process,
    handle: async (head: RequestHead, signal: AbortSignal, random: Random): Promise<CallOutcome> => {
      if (injectedDefect === 'dispatch-without-claim') return await dispatch(head, noopRun, random)
      const { request, remainingMs, ...call } = head
      const decision = await guard.begin({ ...call, deadlineMs: process.clock.nowMs() + remainingMs, signal })
      switch (decision.kind) {
        case 'dispatch': return await dispatch(head, decision.run, random)
        case 'replay': return { kind: 'complete', answer: decision.answer }
        case 'refuse': return { kind: 'refused', refusal: decision.refusal }
      }
    }
  }
}
export type SimExecutor = ReturnType<typeof createSimExecutor>
