import test from 'ava'
import type { GateRequest } from '@orioleslip/core'
import { createOpenGate, openAdmission } from './pass-through.js'

const req: GateRequest = { priority: 0, opKey: 'GET listings /shifts', remainingMs: 0, signal: new AbortController().signal }

// Guards against comparison runs whose baseline still has a limit, a queue or a deadline check.
test('the open gate passes on any number of calls at once', async (t) => {
  const gate = createOpenGate()
  gate.targetStarted(2)
  const results = await Promise.all(Array.from({ length: 50 }, () => gate.enter(req)))
  t.true(results.every((result) => result.kind === 'permit'))
  t.deepEqual(gate.load(), { level: 0, inFlight: 50, queued: 0, limit: 2 })
  t.is(openAdmission.judge('GET listings /shifts', 0), undefined)
})

// Guards against a load report that drifts when a permit is released twice, and against calls to a target that is not there.
test('a permit is released once, and nothing passes without a target', async (t) => {
  const gate = createOpenGate()
  const early = await gate.enter(req)
  t.is(early.kind === 'refused' ? early.refusal.code : 'permit', 'no-target')
  gate.targetStarted(1)
  const result = await gate.enter(req)
  if (result.kind !== 'permit') return t.fail()
  result.permit.release({ kind: 'answered', latencyMs: 1 })
  result.permit.release({ kind: 'answered', latencyMs: 1 })
  t.is(gate.load().inFlight, 0)
})
