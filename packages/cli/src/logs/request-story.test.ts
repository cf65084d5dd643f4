import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test, { type ExecutionContext } from 'ava'
import { explainFromLogs, explainRevision } from '../commands/explain-logs.js'
import { EXIT } from '../exit-codes.js'
import type { RequestStory } from './request-story.js'

const T0 = 1_800_000_000_000

/** Log files with the given lines; a text is written as it stands. */
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

// Guards against an explanation that misses a hop, takes lines of other requests, or doesn't say which logs it lacks.
test('a request is told hop by hop, with what was believed before and the logs that are missing', async (t) => {
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
  const story = output.json as RequestStory
  t.deepEqual(story.steps.map(({ vm, event }) => [vm, event]), [['near', 'call-refused'], ['entry', 'request']])
  t.deepEqual(story.context.map(({ vmId, state }) => [vmId, state]), [['far', 'suspect']])
  t.deepEqual(story.missingLogs, ['far'])
  t.is(story.leftOut, 7)
  t.is(story.cause, 'near: the queue is full, which ended it at entry as overloaded: the queue is full')
  t.regex(output.text, /sent to far: notSent/)
  t.regex(output.text, /no log given of: far/)
})

// Guards against a made-up cause where the target itself answered with a failure.
test('a failure that the target answered is told as such', async (t) => {
  const files = await createLogs(t, { entry: [createEnding({ status: 500, outcome: 'complete', detail: '', attempts: [] })] })
  t.is((explainFromLogs(files, 'req-1')._unsafeUnwrap().json as RequestStory).cause, 'the target answered 500; the cause is in the target\'s own log')
})

// Guards against silence where nothing is found, which would look like a request without a fault.
test('an unknown request and a missing file are clear errors', async (t) => {
  const files = await createLogs(t, { entry: ['noise', createEnding()] })
  const unknown = explainFromLogs(files, 'req-9')._unsafeUnwrapErr()
  t.is(unknown.exitCode, EXIT.unavailable)
  t.regex(unknown.message, /no line of 1 names request req-9 \(1 lines were not readable\)/)
  t.is(explainFromLogs(['no-such-file'], 'req-1')._unsafeUnwrapErr().exitCode, EXIT.usage)
})

// Guards against a revision that counts as in force on a VM that only had an older one.
test('a revision is told with the time at which each VM had it or a later one', async (t) => {
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
