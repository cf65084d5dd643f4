import test from 'ava'
import type { GateRequest } from '@orioleslip/core'
import { createUnlimitedGate, unlimitedAdmission } from './pass-through.js'

const req: GateRequest = { priority: 0, opKey: 'GET listings /shifts', remainingMs: 0, signal: new AbortController().signal }

// Guards against a biased comparison: a baseline run without overload control must not have a limit, a queue or a deadline check.
test('the unlimited gate admits any number of concurrent calls', async (t) => {
  const gate = createUnlimitedGate()
  gate.targetStarted(2)
  const results = await Promise.all(Array.from({ length: 50 }, () => gate.enter(req)))
  t.true(results.every((result) => result.kind === 'permit'))
  t.deepEqual(gate.load(), { level: 0, inFlight: 50, queued: 0, limit: 2 })
  t.is(unlimitedAdmission.check('GET listings /shifts', 0), undefined)
})

// Guards against an in-flight count that drifts when a permit is released twice, and against calls sent before a target is announced.
test('a permit is released once, and calls are refused without a target', async (t) => {
  const gate = createUnlimitedGate()
  const early = await gate.enter(req)
  t.is(early.kind === 'refused' ? early.refusal.code : 'permit', 'no-target')
  gate.targetStarted(1)
  const result = await gate.enter(req)
  if (result.kind !== 'permit') return t.fail()
  result.permit.release({ kind: 'answered', latencyMs: 1 })
  result.permit.release({ kind: 'answered', latencyMs: 1 })
  t.is(gate.load().inFlight, 0)
})
