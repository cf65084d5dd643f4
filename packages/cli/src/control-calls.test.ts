import { rm } from 'node:fs/promises'
import test from 'ava'
import type { ControlClient, EditAnswer, GetAnswer } from '@orioleslip/control/client'
import { createFakeClock } from '@orioleslip/core'
import { TRPCClientError } from '@trpc/client'
import { createControlCalls, type Api } from './control-calls.js'
import { editLists } from './commands/lists-edit.js'
import { EXIT } from './exit-codes.js'
import { createListFiles } from './testing/list-files.js'

type Edit = (input: { editId: string }) => Promise<EditAnswer>

/** Control VMs that share one state: an edit id is applied once and then answered again, as the state machine does. */
function createControls (behaviours: Array<(apply: Edit) => Edit>) {
  const replies = new Map<string, EditAnswer>()
  const sent: string[] = []
  let revision = 0
  const apply: Edit = ({ editId }) => {
    const reply = replies.get(editId) ?? { kind: 'accepted' as const, revision: ++revision }
    replies.set(editId, reply)
    return Promise.resolve(reply)
  }
  const document: GetAnswer['document'] = { revision: 0, lists: { customers: {}, plans: {} } }
  const clients = new Map(behaviours.map((behaviour, i) => {
    const edit = behaviour(apply)
    const mutate: Edit = (input) => {
      sent.push(input.editId)
      return edit(input)
    }
    const api = { get: { query: () => Promise.resolve({ document, digest: '', confirmed: true }) }, edit: { mutate } } as unknown as Api
    return [`10.0.0.${i}:7000`, api]
  }))
  const clock = createFakeClock()
  const calls = createControlCalls({ controls: [...clients.keys()], operator: 'ana', key: '', nodes: [] }, clock, {
    connect: (authority): Pick<ControlClient, 'authority' | 'api' | 'close'> =>
      ({ authority, api: clients.get(authority)!, close: () => Promise.resolve() })
  })
  return { calls, clock, sent, revision: () => revision }
}

const lost = new TRPCClientError('socket hang up')
const refused = new TRPCClientError('connect ECONNREFUSED', { cause: Object.assign(new Error('connect ECONNREFUSED'), { code: 'ECONNREFUSED' }) })

async function runEdit (controls: ReturnType<typeof createControls>, options: object = {}) {
  const { dir, ...files } = await createListFiles()
  const notes: string[] = []
  const running = editLists(controls.calls, { ...files, base: 0, ...options }, controls.clock, (line) => notes.push(line))
  const settled = running.then(() => true)
  const isDone = () => Promise.race([settled, new Promise<boolean>((resolve) => setImmediate(() => resolve(false)))])
  while (!await isDone()) await controls.clock.advance(100)
  await rm(dir, { recursive: true })
  return { res: await running, notes }
}

// Guards against a lost answer that makes the command apply an edit twice or report a conflict with itself.
test('an edit whose answer is lost is asked again elsewhere with the same edit id', async (t) => {
  const controls = createControls([
    (apply) => async (input) => {
      await apply(input)
      throw lost
    },
    (apply) => apply
  ])
  const { res } = await runEdit(controls)
  t.like(res._unsafeUnwrap().json, { kind: 'accepted', revision: 1 })
  t.is(controls.revision(), 1)
  t.is(new Set(controls.sent).size, 1)
  t.is(controls.sent.length, 2)
})

// Guards against "nothing was changed" after an edit that may have been accepted.
test('the outcome is unknown when one try may have been applied', async (t) => {
  const controls = createControls([() => () => Promise.reject(refused), () => () => Promise.reject(lost)])
  const { res, notes } = await runEdit(controls, { editId: 'edit-0001' })
  const problem = res._unsafeUnwrapErr()
  t.is(problem.exitCode, EXIT.unknown)
  t.regex(problem.message, /run the same command with --edit-id edit-0001/)
  t.regex(notes.join('\n'), /edit id edit-0001/)
})

// Guards against "unknown" where it is certain that nothing was sent or applied.
test('nothing was changed when no control VM could be reached or leads', async (t) => {
  const follower: Edit = () => Promise.resolve({ kind: 'notLeader', message: 'no leader is known' })
  const { res } = await runEdit(createControls([() => () => Promise.reject(refused), () => follower]))
  t.is(res._unsafeUnwrapErr().exitCode, EXIT.unavailable)
  t.regex(res._unsafeUnwrapErr().message, /nothing was changed[^]*no leader is known/)
})

// Guards against a retry that is given up during the election after a leader was lost.
test('an edit waits for an election', async (t) => {
  let left = 3
  const electing = (apply: Edit): Edit => (input) => left-- > 0 ? Promise.resolve({ kind: 'notLeader', message: 'election' }) : apply(input)
  const { res } = await runEdit(createControls([electing]))
  t.is(res._unsafeUnwrap().exitCode, EXIT.ok)
})
