import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test, { type ExecutionContext } from 'ava'
import { explainFromLogs, explainRevision } from '../commands/explain-logs.js'
import { EXIT } from '../exit-codes.js'
import type { RequestTimeline } from './request-timeline.js'

const T0 = 1_800_000_000_000

/** Writes log files with the given lines; strings are written unchanged. */
async function createLogs (t: ExecutionContext, files: Record<string, Array<string | object>>): Promise<string[]> {
  const dir = await mkdtemp(join(tmpdir(), 'orioleslip-logs-'))
  t.teardown(() => rm(dir, { recursive: true }))
  return await Promise.all(Object.entries(files).map(async ([name, lines]) => {
    const path = join(dir, name)
    await writeFile(path, lines.map((line) => typeof line === 'string' ? line : JSON.stringify(line)).join('\n') + '\n')
    return path
  }))
}

const createLine = (vm: string, afterMs: number, event: string, fields: object = {}) => ({ level: 30, time: T0 + afterMs, vm, role: 'node', event, ...fields })
const createEnding = (fields: object = {}) => createLine('entry', 900, 'request', {
  requestId: 'req-1',
  route: 'shop',
  revision: 4,
  outcome: 'not-run',
  detail: 'overloaded: the queue is full',
  attempts: [{ vmId: 'near', result: 'refused overloaded (not-run)' }, { vmId: 'far', result: 'notSent' }],
  ...fields
})

// Guards against a timeline that lacks a hop, includes lines of other requests, or hides that the log of a VM on the path is missing.
test('the timeline of a request has each hop, the context before its end and the missing logs', async (t) => {
  const files = await createLogs(t, {
    entry: [
      createLine('entry', -20_000, 'member', { vmId: 'far', state: 'alive', msg: 'too old to matter' }),
      createLine('entry', 100, 'member', { vmId: 'far', state: 'suspect' }),
      createLine('entry', 110, 'member', { vmId: 'unrelated', state: 'failed' }),
      createEnding(),
      createLine('entry', 950, 'request', { requestId: 'req-2', leftOut: 7 }),
      createLine('entry', 1000, 'member', { vmId: 'far', state: 'failed' })
    ],
    near: [`12.5 near ${JSON.stringify(createLine('near', 850, 'call-refused', { requestId: 'req-1', detail: 'the queue is full', queued: 17 }))}`, 'not a log line', '{"cut']
  })
  const output = explainFromLogs(files, 'req-1')._unsafeUnwrap()
  const timeline = output.json as RequestTimeline
  t.deepEqual(timeline.steps.map(({ vm, event }) => [vm, event]), [['near', 'call-refused'], ['entry', 'request']])
  t.deepEqual(timeline.context.map(({ vmId, state }) => [vmId, state]), [['far', 'suspect']])
  t.deepEqual(timeline.missingLogs, ['far'])
  t.is(timeline.leftOut, 7)
  t.is(timeline.cause, 'near: the queue is full, which ended the request at entry as overloaded: the queue is full')
  t.regex(output.text, /sent to far: notSent/)
  t.regex(output.text, /no log given for: far/)
})

// Guards against naming a cause in the fleet when the response of the target was a failure.
test('a failure response of the target is given as the cause', async (t) => {
  const files = await createLogs(t, { entry: [createEnding({ status: 500, outcome: 'complete', detail: '', attempts: [] })] })
  t.is((explainFromLogs(files, 'req-1')._unsafeUnwrap().json as RequestTimeline).cause, 'the target responded with status 500; the cause is in the target\'s own log')
})

// Guards against empty output when no line is found or a file can't be read, which would look like a request without a fault.
test('an unknown request and a missing file are reported as errors', async (t) => {
  const files = await createLogs(t, { entry: ['noise', createEnding()] })
  const unknown = explainFromLogs(files, 'req-9')._unsafeUnwrapErr()
  t.is(unknown.exitCode, EXIT.unavailable)
  t.regex(unknown.message, /no line of 1 names request req-9 \(1 lines were not readable\)/)
  t.is(explainFromLogs(['no-such-file'], 'req-1')._unsafeUnwrapErr().exitCode, EXIT.usage)
})

// Guards against reporting a revision as in effect on a VM that only logged an older one.
test('a revision is listed with the time at which each VM had it or a later one', async (t) => {
  const files = await createLogs(t, {
    all: [
      createLine('a', 0, 'document', { revision: 3 }), createLine('a', 10, 'document', { revision: 4 }), createLine('a', 20, 'document', { revision: 5 }),
      createLine('b', 15, 'document', { revision: 6 }), createLine('c', 5, 'document', { revision: 3 })
    ]
  })
  t.deepEqual(explainRevision(files, 4)._unsafeUnwrap().json, {
    revision: 4,
    inForce: [{ vm: 'a', time: T0 + 10, revision: 4 }, { vm: 'b', time: T0 + 15, revision: 6 }],
    not: ['c']
  })
})
