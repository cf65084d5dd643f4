import { setMaxListeners } from 'node:events'
import { createSeededRandom, notRun, unknownOutcome, type Random, type Refusal } from '@orioleslip/core'
import { createRegisterClient, newAttemptToken, requestHashOf, resolveLostCall } from '@orioleslip/node'
import { createOracle, type CallerRequest, type Told } from './oracle.js'
import { createSimClock } from './sim-clock.js'
import { createSimExecutor, type Head, type SimExecutor } from './sim-executor.js'
import { createSimProcess, type SimProcess } from './sim-process.js'
import { createSimRegister, type PlantedFault } from './sim-register.js'

export const ENTRIES = 2
export const EXECUTORS = 3
export const KEYS = 4

export type WorldOptions = { keyRetentionS: number, keyLimit: number, planted?: PlantedFault | undefined }

/** One caller's request as the model's command describes it; `seed` decides every fault of this call. */
export type CallSpec = { entry: number, executor: number, key: number, body: string, timeoutMs: number, retry: boolean, seed: number }

type Entry = { process: SimProcess, links: AbortController[] }
type Contact = { kind: 'told', told: Told } | { kind: 'notSent' } | { kind: 'lost' } | { kind: 'deadline' }

const START_MS = 1_760_000_000_000
const LINK_TIMEOUT_MS = 3000
const TOKEN_LIFETIME_MS = 7_200_000

// Odd keys are UUIDv7 by a caller whose clock is ahead, even ones have no time.
const KEY_TIME_HEX = (START_MS + 1_800_000).toString(16).padStart(12, '0')
const keyName = (key: number) =>
  key % 2 === 0 ? `key-${key}` : `${KEY_TIME_HEX.slice(0, 8)}-${KEY_TIME_HEX.slice(8)}-7000-8000-00000000000${key}`

// Each call in flight listens to its link.
function newLink (): AbortController {
  const link = new AbortController()
  setMaxListeners(0, link.signal)
  return link
}

/** Creates entry nodes, executors with targets and a key register on a simulated clock. */
export function createWorld (options: WorldOptions) {
  const sim = createSimClock(START_MS)
  const oracle = createOracle({
    keyHoldMs: Math.max(options.keyRetentionS * 1000, TOKEN_LIFETIME_MS),
    isTimedKey: (key) => !key.startsWith('key-')
  })
  const register = createSimRegister(sim, oracle, options)
  const randoms = new Map<string, Random>()
  const randomOf = (token: string) => randoms.get(token)!

  function startExecutor (number: number): SimExecutor {
    const process = createSimProcess(sim, (number - 1) * 20_000)
    const controlCall = register.callFrom(process, randomOf)
    return createSimExecutor({ sim, process, oracle, vmId: `vm-${number}`, controlCall, planted: options.planted })
  }

  function startEntry (number: number): Entry {
    const process = createSimProcess(sim, number * -25_000)
    return { process, links: Array.from({ length: EXECUTORS }, newLink) }
  }

  const executors = Array.from({ length: EXECUTORS }, (_, i) => startExecutor(i))
  const entries = Array.from({ length: ENTRIES }, (_, i) => startEntry(i))

  function cutLink (entry: Entry, executor: number) {
    entry.links[executor]!.abort()
    entry.links[executor] = newLink()
  }
  const cutAllLinks = (executor: number) => { for (const entry of entries) cutLink(entry, executor) }

  /** Sends a head over the link; a cut may come before, during or after its delivery, and the executor may read it much later. */
  async function contact (entry: Entry, executor: number, head: Head, random: Random): Promise<Contact> {
    const peer = executors[executor]!
    if (!peer.process.isAlive()) return { kind: 'notSent' }
    const link = entry.links[executor]!.signal
    const callerGone = new AbortController()
    const fault = random.int(8)

    async function exchange (): Promise<Contact> {
      await sim.sleep(fault === 0 ? 500 + random.int(5000) : 1 + random.int(4))
      if (link.aborted && random.int(2) === 0) return { kind: 'lost' }
      const told = await peer.process.enter(Promise.resolve()).then(() => peer.handle(head, callerGone.signal, random))
      await sim.sleep(1 + random.int(4))
      // A lost response: the link breaks while it is on its way.
      return fault === 1 || link.aborted ? { kind: 'lost' } : { kind: 'told', told }
    }

    const cut = new Promise<Contact>((resolve) => link.addEventListener('abort', () => resolve({ kind: 'lost' }), { once: true }))
    const late = sim.sleep(head.remainingMs).then((): Contact => ({ kind: 'deadline' }))
    const result = await entry.process.enter(Promise.race([exchange(), cut, late]))
    // The cancel frame arrives at the executor, or it doesn't.
    if (result.kind !== 'told' && random.int(2) === 0) callerGone.abort()
    return result
  }

  /** Sends one attempt and decides what the caller would be told. */
  async function attempt (entry: Entry, executor: number, head: Head, deadlineMs: number, random: Random): Promise<Told> {
    const refused = (refusal: Refusal): Told => ({ kind: 'refused', refusal })
    const result = await contact(entry, executor, head, random)
    if (result.kind === 'told') return result.told
    if (result.kind === 'notSent') return refused(notRun('no-target', 'the executor refused the connection'))
    const code = result.kind === 'deadline' ? 'deadline-exceeded' : 'target-lost'
    if (options.planted === 'not-run-without-cancel') return refused(notRun(code, 'planted'))
    const lost = { customer: 'customer-1', key: head.key, token: head.token, deadlineMs, code } as const
    const deps = { register: createRegisterClient(register.callFrom(entry.process, randomOf)), clock: entry.process.clock }
    const verdict = await resolveLostCall(deps, lost)
    return verdict.kind === 'replay' ? { kind: 'complete', answer: verdict.answer } : refused(verdict.refusal)
  }

  async function serve (entry: Entry, spec: CallSpec, request: CallerRequest, noted: ReturnType<typeof oracle.call>) {
    const { clock } = entry.process
    const deadlineMs = clock.nowMs() + spec.timeoutMs
    const random = createSeededRandom(spec.seed)
    let told: Told = { kind: 'refused', refusal: unknownOutcome('internal-error', 'no attempt') }
    for (let i = 0; i < (spec.retry ? 2 : 1); i++) {
      const token = newAttemptToken(clock)
      randoms.set(token, random)
      noted.token(token)
      const head: Head = {
        customer: 'customer-1',
        key: request.key,
        token,
        opKey: 'POST claims /claims',
        requestHash: requestHashOf('POST', '/claims', Buffer.from(request.body)),
        request,
        remainingMs: deadlineMs - clock.nowMs()
      }
      told = await attempt(entry, (spec.executor + i) % EXECUTORS, head, deadlineMs, random)
      const canRetry = told.kind === 'refused' && told.refusal.outcome === 'not-run' && told.refusal.code === 'target-lost'
      if (!canRetry || clock.nowMs() >= deadlineMs) break
    }
    noted.told(told)
  }

  const pendingEntries = new Map<Entry, Set<ReturnType<typeof oracle.call>>>(entries.map((entry) => [entry, new Set()]))

  return {
    oracle,
    register,
    advance: sim.advance,
    call: (spec: CallSpec) => {
      const entry = entries[spec.entry]!
      const request = { key: keyName(spec.key), body: spec.body }
      const noted = oracle.call(request)
      const pending = pendingEntries.get(entry)!
      pending.add(noted)
      // The caller's request reaches the entry node once it isn't frozen.
      entry.process.enter(Promise.resolve())
        .then(() => serve(entry, spec, request, noted))
        .then(() => pending.delete(noted), (e) => oracle.note(`the harness failed: ${String(e)}`))
    },
    restartExecutor: (number: number) => {
      executors[number]!.process.kill()
      cutAllLinks(number)
      executors[number] = startExecutor(number)
    },
    killExecutor: (number: number, downMs: number) => {
      const killed = executors[number]!
      killed.process.kill()
      cutAllLinks(number)
      sim.sleep(downMs).then(() => { if (executors[number] === killed) executors[number] = startExecutor(number) })
    },
    restartEntry: (number: number) => {
      const entry = entries[number]!
      entry.process.kill()
      for (const noted of pendingEntries.get(entry)!) noted.entryLost()
      const next = startEntry(number)
      entries[number] = next
      pendingEntries.set(next, new Set())
    },
    /** Freezes an executor; its peers close their links after the ping timeout. */
    freezeExecutor: (number: number, ms: number, clockStops: boolean) => {
      const { process } = executors[number]!
      process.freeze(ms, clockStops)
      if (ms > LINK_TIMEOUT_MS) sim.sleep(LINK_TIMEOUT_MS).then(() => { if (process.isFrozen()) cutAllLinks(number) })
    },
    freezeEntry: (number: number, ms: number) => entries[number]!.process.freeze(ms, false),
    cutLink: (entry: number, executor: number) => cutLink(entries[entry]!, executor)
  }
}
export type World = ReturnType<typeof createWorld>
