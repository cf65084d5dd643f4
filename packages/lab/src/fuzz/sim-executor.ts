import { notRun, unknownOutcome, type Random } from '@orioleslip/core'
import { createAnswerRecorder, createOnceGuard, createRegisterClient, type ControlCall, type OnceCall, type OnceRun } from '@orioleslip/node'
import type { CallerRequest, Oracle, Told } from './oracle.js'
import type { SimClock } from './sim-clock.js'
import type { SimProcess } from './sim-process.js'
import type { PlantedFault } from './sim-register.js'

/** What the executor receives from an entry node. */
export type Head = Omit<OnceCall, 'deadlineMs' | 'signal'> & { request: CallerRequest, remainingMs: number }

export type SimExecutorOptions = {
  sim: SimClock
  process: SimProcess
  oracle: Oracle
  vmId: string
  controlCall: ControlCall
  planted?: PlantedFault | undefined
}

const quiet = { warn: () => {} }
const noRun: OnceRun = { finished: async () => {}, notSent: async () => {} }

/** Creates an executor node with its target: the product's guard, and a target that answers, loses answers or refuses connections. */
export function createSimExecutor ({ sim, process, oracle, vmId, controlCall, planted }: SimExecutorOptions) {
  const guard = createOnceGuard({ register: createRegisterClient(controlCall), clock: process.clock, log: quiet, vmId })

  // Runs outside of the process: bytes that were sent reach the target even if the node dies.
  async function target (head: Head, random: Random): Promise<Buffer | undefined> {
    const kind = random.int(6)
    await sim.sleep(1 + random.int(3))
    if (kind === 0) return undefined
    const body = oracle.run(head.request, head.token, sim.nowMs())
    await sim.sleep(kind === 1 ? 30_000 : 5 + random.int(200))
    return kind === 2 ? undefined : body
  }

  async function dispatch (head: Head, run: OnceRun, random: Random): Promise<Told> {
    if (random.int(8) === 0) {
      const released = run.notSent()
      if (random.int(2) === 0) await released
      return { kind: 'refused', refusal: notRun('target-lost', 'connection refused') }
    }
    const body = await process.enter(target(head, random))
    if (body === undefined) {
      if (planted === 'release-after-dispatch') await run.notSent()
      return { kind: 'refused', refusal: unknownOutcome('target-lost', 'the connection was lost after the request was sent') }
    }
    const headers = ['content-type', 'text/plain']
    const recorder = createAnswerRecorder(201, headers)
    recorder.add(body)
    const recorded = run.finished(recorder.done())
    if (random.int(2) === 0) await recorded
    return { kind: 'complete', answer: { status: 201, headers, body } }
  }

  return {
    process,
    handle: async (head: Head, signal: AbortSignal, random: Random): Promise<Told> => {
      if (planted === 'dispatch-without-claim') return await dispatch(head, noRun, random)
      const { request, remainingMs, ...call } = head
      const beginning = await guard.begin({ ...call, deadlineMs: process.clock.nowMs() + remainingMs, signal })
      switch (beginning.kind) {
        case 'dispatch': return await dispatch(head, beginning.run, random)
        case 'replay': return { kind: 'complete', answer: beginning.answer }
        case 'refuse': return { kind: 'refused', refusal: beginning.refusal }
      }
    }
  }
}
export type SimExecutor = ReturnType<typeof createSimExecutor>
