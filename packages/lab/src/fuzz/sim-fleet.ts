import { setMaxListeners } from 'node:events'
import { createSeededRandom, notRun, unknownOutcome, type Random, type Refusal } from '@orioleslip/core'
import { createRegisterClient, newAttemptToken, requestHashOf, resolveLostCall } from '@orioleslip/node'
import { createOracle, type CallerRequest, type CallOutcome } from './oracle.js'
import { createSimClock } from './sim-clock.js'
import { createSimExecutor, type RequestHead, type SimExecutor } from './sim-executor.js'
import { createSimProcess, type SimProcess } from './sim-process.js'
import { createSimRegister, type InjectedDefect } from './sim-register.js'

/** Number of entry nodes, executors and keys of a simulated fleet. */
export const ENTRIES = 2
export const EXECUTORS = 3
export const KEYS = 4

/** Settings of the key register, and the defect that is switched on in the harness, if any. */
export type SimFleetOptions = { keyRetentionS: number, keyLimit: number, injectedDefect?: InjectedDefect | undefined }

/** Parameters of a caller's request in a command; every fault of this call is drawn from `seed`. */
export type CallSpec = { entry: number, executor: number, key: number, body: string, timeoutMs: number, retry: boolean, seed: number }

type Entry = { process: SimProcess, links: AbortController[] }
type ExchangeResult = { kind: 'replied', callOutcome: CallOutcome } | { kind: 'notSent' } | { kind: 'lost' } | { kind: 'deadline' }

const START_MS = 1_760_000_000_000
const LINK_TIMEOUT_MS = 3000
const TOKEN_LIFETIME_MS = 7_200_000

// Odd keys are UUIDv7 from a caller whose clock is half an hour ahead, even keys contain no timestamp.
const KEY_TIME_HEX = (START_MS + 1_800_000).toString(16).padStart(12, '0')
const keyName = (key: number) =>
  key % 2 === 0 ? `key-${key}` : `${KEY_TIME_HEX.slice(0, 8)}-${KEY_TIME_HEX.slice(8)}-7000-8000-00000000000${key}`

// Each call in flight adds a listener to its link's signal, so the default listener limit would print warnings.
function newLink (): AbortController {
  const link = new AbortController()
  setMaxListeners(0, link.signal)
  return link
}

/** Creates entry nodes, executors with targets and a key register on a simulated clock. */
export function createSimFleet (options: SimFleetOptions) {
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
    return createSimExecutor({ sim, process, oracle, vmId: `vm-${number}`, controlCall, injectedDefect: options.injectedDefect })
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

  /** Sends a request head over the link; the link may be cut before, during or after delivery, and the executor may read it much later. */
  async function sendHead (entry: Entry, executor: number, head: RequestHead, random: Random): Promise<ExchangeResult> {
    const peer = executors[executor]!
    if (!peer.process.isAlive()) return { kind: 'notSent' }
    const link = entry.links[executor]!.signal
    const cancelled = new AbortController()
    const fault = random.int(8)

    async function exchange (): Promise<ExchangeResult> {
      await sim.sleep(fault === 0 ? 500 + random.int(5000) : 1 + random.int(4))
      if (link.aborted && random.int(2) === 0) return { kind: 'lost' }
      const callOutcome = await peer.process.enter(Promise.resolve()).then(() => peer.handle(head, cancelled.signal, random))
      await sim.sleep(1 + random.int(4))
      // The response is lost: the link breaks while it is in transit.
      return fault === 1 || link.aborted ? { kind: 'lost' } : { kind: 'replied', callOutcome }
    }

    const cut = new Promise<ExchangeResult>((resolve) => link.addEventListener('abort', () => resolve({ kind: 'lost' }), { once: true }))
    const deadline = sim.sleep(head.remainingMs).then((): ExchangeResult => ({ kind: 'deadline' }))
    const result = await entry.process.enter(Promise.race([exchange(), cut, deadline]))
    // The cancel frame reaches the executor in half of the cases.
    if (result.kind !== 'replied' && random.int(2) === 0) cancelled.abort()
    return result
  }

  /** Sends one attempt and returns the outcome that the entry node would report to the caller. */
  async function attempt (entry: Entry, executor: number, head: RequestHead, deadlineMs: number, random: Random): Promise<CallOutcome> {
    const refused = (refusal: Refusal): CallOutcome => ({ kind: 'refused', refusal })
    const result = await sendHead(entry, executor, head, random)
    if (result.kind === 'replied') return result.callOutcome
    if (result.kind === 'notSent') return refused(notRun('no-target', 'the executor refused the connection'))
    const code = result.kind === 'deadline' ? 'deadline-exceeded' : 'target-lost'
    if (options.injectedDefect === 'not-run-without-cancel') return refused(notRun(code, 'injected defect'))
    const lost = { customer: 'customer-1', key: head.key, token: head.token, deadlineMs, code } as const
    const deps = { register: createRegisterClient(register.callFrom(entry.process, randomOf)), clock: entry.process.clock }
    const verdict = await resolveLostCall(deps, lost)
    return verdict.kind === 'replay' ? { kind: 'complete', answer: verdict.answer } : refused(verdict.refusal)
  }

  async function serve (entry: Entry, spec: CallSpec, request: CallerRequest, callRecord: ReturnType<typeof oracle.call>) {
    const { clock } = entry.process
    const deadlineMs = clock.nowMs() + spec.timeoutMs
    const random = createSeededRandom(spec.seed)
    let callOutcome: CallOutcome = { kind: 'refused', refusal: unknownOutcome('internal-error', 'no attempt') }
    for (let i = 0; i < (spec.retry ? 2 : 1); i++) {
      const token = newAttemptToken(clock)
      randoms.set(token, random)
      callRecord.addToken(token)
      const head: RequestHead = {
        customer: 'customer-1',
        key: request.key,
        token,
        opKey: 'POST claims /claims',
        requestHash: requestHashOf('POST', '/claims', Buffer.from(request.body)),
        request,
        remainingMs: deadlineMs - clock.nowMs()
      }
      callOutcome = await attempt(entry, (spec.executor + i) % EXECUTORS, head, deadlineMs, random)
      const canRetry = callOutcome.kind === 'refused' && callOutcome.refusal.outcome === 'not-run' && callOutcome.refusal.code === 'target-lost'
      if (!canRetry || clock.nowMs() >= deadlineMs) break
    }
    callRecord.setOutcome(callOutcome)
  }

  const pendingEntries = new Map<Entry, Set<ReturnType<typeof oracle.call>>>(entries.map((entry) => [entry, new Set()]))

  return {
    oracle,
    register,
    advance: sim.advance,
    call: (spec: CallSpec) => {
      const entry = entries[spec.entry]!
      const request = { key: keyName(spec.key), body: spec.body }
      const callRecord = oracle.call(request)
      const pending = pendingEntries.get(entry)!
      pending.add(callRecord)
      // The caller's request reaches the entry node when the node isn't frozen.
      entry.process.enter(Promise.resolve())
        .then(() => serve(entry, spec, request, callRecord))
        .then(() => pending.delete(callRecord), (e) => oracle.addViolation(`the harness failed: ${String(e)}`))
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
      for (const callRecord of pendingEntries.get(entry)!) callRecord.entryLost()
      const next = startEntry(number)
      entries[number] = next
      pendingEntries.set(next, new Set())
    },
    /** Freezes an executor; its peers close their links to it after the ping timeout. */
    freezeExecutor: (number: number, ms: number, clockStops: boolean) => {
      const { process } = executors[number]!
      process.freeze(ms, clockStops)
      if (ms > LINK_TIMEOUT_MS) sim.sleep(LINK_TIMEOUT_MS).then(() => { if (process.isFrozen()) cutAllLinks(number) })
    },
    freezeEntry: (number: number, ms: number) => entries[number]!.process.freeze(ms, false),
    cutLink: (entry: number, executor: number) => cutLink(entries[entry]!, executor)
  }
}
export type SimFleet = ReturnType<typeof createSimFleet>
