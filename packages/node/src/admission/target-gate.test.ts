import test from 'ava'
import fc from 'fast-check'
import { createFakeClock } from '@orioleslip/core'
import type { GateResult } from '@orioleslip/core'
import { createAnnouncedLimit } from '../limits/announced-limit.js'
import { createTargetGate } from './target-gate.js'

type Call = { priority?: number, remainingMs?: number, opKey?: string, bodyStarted?: boolean }

async function createGate (capacity = 1) {
  const clock = createFakeClock()
  const gate = createTargetGate({ clock })
  gate.targetStarted(capacity)
  await clock.advance(11_000)
  const enter = (call: Call = {}) => {
    const aborter = new AbortController()
    const res: { result?: GateResult, abort: () => void, done: Promise<GateResult> } = {
      abort: () => { aborter.abort() },
      done: gate.enter({
        priority: call.priority ?? 0,
        opKey: call.opKey ?? 'GET s /',
        remainingMs: call.remainingMs ?? 60_000,
        signal: aborter.signal,
        bodyStarted: () => call.bodyStarted ?? false
      })
    }
    res.done.then((result) => { res.result = result }, () => {})
    return res
  }
  return { clock, gate, enter }
}

function release (result: GateResult | undefined, latencyMs = 10): void {
  if (result?.kind === 'permit') result.permit.release({ kind: 'answered', latencyMs })
}

/** Releases the permit without a latency sample, so that the concurrency limit does not change. */
function freePermit (result: GateResult | undefined): void {
  if (result?.kind === 'permit') result.permit.release({ kind: 'failed', latencyMs: 10 })
}

// Guards against a claim that waits behind browse requests that were queued earlier.
test('waiting calls get permits in order of priority', async (t) => {
  await fc.assert(fc.asyncProperty(fc.array(fc.integer({ min: 0, max: 255 }), { minLength: 1, maxLength: 30 }), async (priorities) => {
    const { enter } = await createGate()
    const running = await enter().done
    const order: number[] = []
    const calls = priorities.map((priority) => enter({ priority }).done.then((result) => { order.push(priority); freePermit(result) }))
    freePermit(running)
    await Promise.all(calls)
    t.deepEqual(order, [...priorities].sort((a, b) => b - a))
  }), { seed: 1, numRuns: 30 })
})

// Guards against claims that are dropped because they arrive last at a queue that is full of browse requests.
test('a full queue drops the lowest priorities first and reports them as not run', async (t) => {
  await fc.assert(fc.asyncProperty(fc.array(fc.integer({ min: 0, max: 191 }), { minLength: 26, maxLength: 120 }), async (priorities) => {
    const { clock, enter } = await createGate()
    await enter().done
    const calls = priorities.map((priority) => ({ priority, call: enter({ priority }) }))
    await clock.advance(0)
    const dropped = calls.filter(({ call }) => call.result !== undefined)
    const kept = calls.filter(({ call }) => call.result === undefined)
    t.is(kept.length, 25)
    t.true(dropped.every(({ call }) => call.result?.kind === 'refused' && call.result.refusal.outcome === 'not-run'))
    t.true(Math.max(...dropped.map((d) => d.priority)) <= Math.min(...kept.map((k) => k.priority)))
  }), { seed: 2, numRuns: 30 })
})

// Guards against an upload that is dropped in favour of a higher priority after part of its body has been transferred.
test('an upload whose body has started is not dropped for calls of higher priority', async (t) => {
  const { clock, enter } = await createGate()
  await enter().done
  const upload = enter({ priority: 0, bodyStarted: true })
  for (let i = 0; i < 100; i++) enter({ priority: 150 })
  await clock.advance(0)
  t.is(upload.result, undefined)
})

// Guards against slots used for calls that end after their deadline, when the caller no longer waits for the response.
test('a call that cannot finish before its deadline is not dispatched', async (t) => {
  const { clock, gate, enter } = await createGate(2)
  release(await enter().done, 500)
  const early = await enter({ remainingMs: 400 }).done
  t.is(early.kind === 'refused' ? early.refusal.outcome : early.kind, 'not-run')
  const running = await Promise.all([enter().done, enter().done])
  const waiting = enter({ remainingMs: 600 })
  await clock.advance(200)
  gate.tick()
  await clock.advance(0)
  t.is(waiting.result?.kind === 'refused' ? waiting.result.refusal.code : undefined, 'deadline-exceeded')
  running.forEach((result) => { release(result) })
})

// Guards against an operation that stays refused after its target has become fast again: refused calls yield no new latency samples.
test('a latency estimate from a slow period decays without new samples', async (t) => {
  const { clock, enter } = await createGate()
  release(await enter().done, 30_000)
  t.is((await enter({ remainingMs: 1000 }).done).kind, 'refused')
  await clock.advance(15_000)
  t.is((await enter({ remainingMs: 1000 }).done).kind, 'permit')
})

// Guards against slots that leak when callers disconnect while they wait, and against permits that are released twice.
test('cancelled waiters are removed immediately and a permit is released once', async (t) => {
  const { gate, enter } = await createGate()
  const first = await enter().done
  const waiting = [enter(), enter(), enter()]
  waiting[1]!.abort()
  t.is((await waiting[1]!.done).kind, 'refused')
  t.is(gate.load().queued, 2)
  freePermit(first)
  freePermit(first)
  await waiting[0]!.done
  t.is(gate.load().inFlight, 1)
  t.is(gate.load().queued, 1)
})

// Guards against an overloaded cold target: a target that has just started is slower until its caches and connections are warm.
test('a started target is ramped up over 10 s', async (t) => {
  const clock = createFakeClock()
  const gate = createTargetGate({ clock })
  t.is(gate.load().limit, 0)
  gate.targetStarted(50)
  t.is(gate.load().limit, 5)
  await clock.advance(5000)
  t.is(gate.load().limit, 30)
  await clock.advance(5000)
  t.is(gate.load().limit, 50)
  gate.targetStarted(50)
  t.is(gate.load().limit, 5)
})

// Guards against one client with very short deadlines that causes refusals for all others: if its calls counted as dropped for
// overload, the admission level would rise at an idle target.
test('deadlines shorter than the operation do not raise the level of an idle target', async (t) => {
  const { clock, gate, enter } = await createGate(10)
  for (let i = 0; i < 50; i++) {
    release(await enter().done, 50)
    for (let n = 0; n < 20; n++) await enter({ remainingMs: 1 }).done
    await clock.advance(100)
    gate.tick()
  }
  t.is(gate.load().level, 0)
})

// Guards against a level that stays high, or a late call that stays queued, because the owner ticks the gate only while it is under
// pressure; and against a process that is woken ten times a second with nothing queued.
test('a gate is under pressure from the first queued call until its queue is empty and its level is 0', async (t) => {
  const { clock, gate, enter } = await createGate()
  let pressures = 0
  gate.onPressure(() => { pressures++ })
  const running = enter()
  await clock.advance(0)
  t.false(gate.underPressure())
  t.is(pressures, 0)
  const late = enter({ remainingMs: 150 })
  await clock.advance(0)
  t.is(pressures, 1)
  t.true(gate.underPressure())
  for (let i = 0; i < 2; i++) {
    await clock.advance(100)
    gate.tick()
  }
  await clock.advance(0)
  t.is(late.result?.kind, 'refused')
  freePermit(running.result)
  for (let i = 0; i < 100 && gate.underPressure(); i++) {
    await clock.advance(100)
    gate.tick()
  }
  t.false(gate.underPressure())
  t.is(gate.load().level, 0)
})

// Guards against a rate limit that is used up by calls of low priority while calls of high priority are refused.
test('a rate limit goes to the calls of the highest priority, and the others are refused as not run with spread return times', async (t) => {
  const { clock, gate, enter } = await createGate(100)
  gate.setRateLimit(20)
  const results: Array<{ priority: number, result: GateResult }> = []
  for (let i = 0; i < 400; i++) {
    const priority = i % 4 === 0 ? 150 : 10
    enter({ priority }).done.then((result) => {
      results.push({ priority, result })
      release(result)
    }, () => {})
    await clock.advance(10)
    if (i % 10 === 0) gate.tick()
  }
  const permitsOf = (priority: number) => results.filter((each) => each.priority === priority && each.result.kind === 'permit').length
  t.true(permitsOf(150) + permitsOf(10) <= 20 * 4 + 5)
  t.true(permitsOf(150) >= 0.8 * (20 * 4), `${permitsOf(150)} of high, ${permitsOf(10)} of low priority`)
  const refusals = results.flatMap(({ result }) => result.kind === 'refused' ? [result.refusal] : [])
  t.true(refusals.every(({ outcome, code }) => outcome === 'not-run' && code === 'overloaded'))
  t.true(new Set(refusals.map(({ retryAfterS }) => retryAfterS)).size > 10)
})

// Guards against calls that wait seconds for their turn at a target with a low rate, when another target could take them at once.
test('few calls wait at a target with a rate limit, however many slots it has', async (t) => {
  const { clock, gate, enter } = await createGate(100)
  gate.setRateLimit(20)
  for (let i = 0; i < 50; i++) enter()
  await clock.advance(0)
  t.true(gate.load().queued <= 2)
  t.is(gate.load().rate?.perSecond, 20)
  gate.setRateLimit(undefined)
  await clock.advance(0)
  t.deepEqual([gate.load().queued, gate.load().rate], [0, undefined])
})

// Guards against a limit that outlives the process that named it, or that ends when the process announces another capacity.
test('a rate limit is kept for the same process and forgotten for another', async (t) => {
  const { gate } = await createGate(100)
  gate.setRateLimit(20)
  gate.targetStarted(50, true)
  t.is(gate.load().rate?.perSecond, 20)
  gate.targetStarted(50)
  t.is(gate.load().rate, undefined)
})

/** Offers 200 calls a second to a target with a rate limit, beside which the node restarts at `restartMs`; returns when they were sent. */
async function sendAcrossRestart (
  { perSecond, restartMs, serviceMs }: { perSecond: number, restartMs: number, serviceMs: number }
): Promise<number[]> {
  const clock = createFakeClock()
  const sentMs: number[] = []
  const start = () => {
    const gate = createTargetGate({ clock, limiter: createAnnouncedLimit() })
    gate.targetStarted(100)
    return gate
  }
  let gate = start()
  const call = async () => {
    const through = gate
    const result = await through.enter({ priority: 0, opKey: 'GET s /', remainingMs: 60_000, signal: new AbortController().signal })
    // The calls that wait in a node end with it.
    if (result.kind !== 'permit' || through !== gate) return
    sentMs.push(clock.nowMs())
    await clock.sleep(serviceMs)
    through.setRateLimit(perSecond)
    result.permit.release({ kind: 'answered', latencyMs: serviceMs })
  }
  for (let ms = 0; ms < restartMs + 6000; ms += 5) {
    if (ms === restartMs) gate = start()
    call().catch(() => {})
    await clock.advance(5)
    if (ms % 100 === 0) gate.tick()
  }
  return sentMs
}

// Guards against a target near its end that gets more calls than it names because the node beside it restarts and forgets its rate limit.
test('a restart of the node beside a target does not exceed the rate limit that the target names', async (t) => {
  for (const perSecond of [0.5, 1, 2, 5, 20]) {
    for (const serviceMs of [20, 200, 1000]) {
      const sentMs = await sendAcrossRestart({ perSecond, restartMs: 9000, serviceMs })
      // The first start does not count: the target has named nothing yet.
      const late = sentMs.filter((ms) => ms >= 4000)
      const most = Math.max(...late.map((from) => late.filter((ms) => ms >= from && ms <= from + 4000).length))
      t.true(most <= 1.5 * 4 * perSecond + 5, `${most} calls in 4 s at ${perSecond} calls per second and ${serviceMs} ms`)
    }
  }
})
