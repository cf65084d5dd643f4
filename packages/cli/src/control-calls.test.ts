import { rm } from 'node:fs/promises'
import test from 'ava'
import type { ControlClient, EditCallReply, GetReply } from '@orioleslip/control/client'
import { createFakeClock } from '@orioleslip/core'
import { TRPCClientError } from '@trpc/client'
import { createControlCalls, type Api } from './control-calls.js'
import { editLists } from './commands/lists-edit.js'
import { EXIT } from './exit-codes.js'
import { createListFiles } from './testing/list-files.js'

type Edit = (input: { editId: string }) => Promise<EditCallReply>

/** Creates control VMs with shared state: an edit id is applied once, and repeats get the same reply, as from the state machine. */
function createControls (behaviours: Array<(apply: Edit) => Edit>) {
  const replies = new Map<string, EditCallReply>()
  const sent: string[] = []
  let revision = 0
  const apply: Edit = ({ editId }) => {
    const reply = replies.get(editId) ?? { kind: 'accepted' as const, revision: ++revision }
    replies.set(editId, reply)
    return Promise.resolve(reply)
  }
  const document: GetReply['document'] = { revision: 0, lists: { customers: {}, plans: {} } }
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

const connectionLost = new TRPCClientError('socket hang up')
const connectionRefused = new TRPCClientError('connect ECONNREFUSED', { cause: Object.assign(new Error('connect ECONNREFUSED'), { code: 'ECONNREFUSED' }) })

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

// Guards against applying an edit twice or reporting a conflict with itself, when its reply is lost and the retry has a new edit id.
test('an edit whose reply is lost is retried on another control VM with the same edit id', async (t) => {
  const controls = createControls([
    (apply) => async (input) => {
      await apply(input)
      throw connectionLost
    },
    (apply) => apply
  ])
  const { res } = await runEdit(controls)
  t.like(res._unsafeUnwrap().json, { kind: 'accepted', revision: 1 })
  t.is(controls.revision(), 1)
  t.is(new Set(controls.sent).size, 1)
  t.is(controls.sent.length, 2)
})

// Guards against reporting "nothing was changed" when one attempt was certainly not applied but another one, whose reply was lost, may be.
test('the outcome is unknown when one attempt may have been applied', async (t) => {
  const controls = createControls([() => () => Promise.reject(connectionRefused), () => () => Promise.reject(connectionLost)])
  const { res, notes } = await runEdit(controls, { editId: 'edit-0001' })
  const problem = res._unsafeUnwrapErr()
  t.is(problem.exitCode, EXIT.unknown)
  t.regex(problem.message, /run the same command with --edit-id edit-0001/)
  t.regex(notes.join('\n'), /edit id edit-0001/)
})

// Guards against reporting an unknown outcome when every attempt was refused before it was sent or applied.
test('an edit is reported as not applied when no leader is reachable', async (t) => {
  const follower: Edit = () => Promise.resolve({ kind: 'notLeader', message: 'no leader is known' })
  const { res } = await runEdit(createControls([() => () => Promise.reject(connectionRefused), () => follower]))
  t.is(res._unsafeUnwrapErr().exitCode, EXIT.unavailable)
  t.regex(res._unsafeUnwrapErr().message, /nothing was changed[^]*no leader is known/)
})

// Guards against a command that fails during an election because its retries end before a new leader is elected.
test('an edit waits for an election', async (t) => {
  let failuresLeft = 3
  const electing = (apply: Edit): Edit => (input) => failuresLeft-- > 0 ? Promise.resolve({ kind: 'notLeader', message: 'election' }) : apply(input)
  const { res } = await runEdit(createControls([electing]))
  t.is(res._unsafeUnwrap().exitCode, EXIT.ok)
})
