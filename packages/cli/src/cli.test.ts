import { createServer } from 'node:http'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test, { type ExecutionContext } from 'ava'
import { startControl } from '@orioleslip/control'
import { settingsSchema, systemClock } from '@orioleslip/core'
import { loopbackHost } from '@orioleslip/core/testing'
import { pino } from 'pino'
import { EXIT } from './exit-codes.js'
import { runCli } from './program.js'
import { createListFiles } from './testing/list-files.js'

const KEY = 'operator-key-0123456789'

const HOST = loopbackHost()
let nextPort = 20_000

/** Starts a control process with one operator and returns a function that runs commands against it. */
async function startFleet (t: ExecutionContext) {
  const dataDir = await mkdtemp(join(tmpdir(), 'orioleslip-control-'))
  const port = nextPort++
  const place = { address: HOST, failureDomain: 'r1-a' }
  const settings = settingsSchema.parse({
    role: 'control',
    vm: { id: 'c1', region: 'r1', ...place },
    control: { apiPort: port, gossipPort: 1, dataDir },
    controls: [{ vmId: 'c1', apiPort: port, gossipPort: 1, ...place }],
    auth: { fleetKey: 'fleet-key-0123456789', operators: [{ name: 'ana', key: KEY }] }
  })
  const control = (await startControl(settings, { log: pino({ level: 'silent' }) }))._unsafeUnwrap()
  t.teardown(async () => {
    await control.stop()
    await rm(dataDir, { recursive: true })
  })
  return async (argv: string[], env: NodeJS.ProcessEnv = {}) => {
    const out: string[] = []
    const notes: string[] = []
    const code = await runCli(argv, {
      out: (text) => out.push(text),
      note: (line) => notes.push(line),
      env: { ORIOLESLIP_CONFIG: undefined, ORIOLESLIP_CONTROLS: `${HOST}:${port}`, ORIOLESLIP_OPERATOR: 'ana', ORIOLESLIP_KEY: KEY, ...env },
      clock: systemClock
    })
    return { code, out: out.join('\n'), notes: notes.join('\n'), json: () => JSON.parse(out.join('\n')) as Record<string, unknown> }
  }
}

// Guards against commands that fail outside unit tests, because fakes differ from the control API: every step runs over HTTP against a
// real control process with its data on disk.
test('an operator initializes the cluster, edits, repeats an edit, gets conflicts and verifies the audit trail', async (t) => {
  const run = await startFleet(t)
  t.is((await run(['cluster', 'init'])).code, EXIT.ok)
  t.like((await run(['cluster', 'init', '--json'])).json(), { kind: 'exists' })

  const { dir, customers, plans } = await createListFiles()
  t.teardown(() => rm(dir, { recursive: true }))
  const edit = ['lists', 'edit', '--customers', customers, '--plans', plans, '--json']
  t.is((await run(edit)).code, EXIT.usage)
  const first = await run([...edit, '--base', '0', '--edit-id', 'edit-0001'])
  t.like(first.json(), { kind: 'accepted', revision: 1, editId: 'edit-0001' })
  t.deepEqual((await run([...edit, '--base', '0', '--edit-id', 'edit-0001'])).json(), first.json())
  t.like(await run([...edit, '--base', '0']), { code: EXIT.conflict })
  t.like((await run([...edit, '--base', '1', '--edit-id', 'edit-0001'])).json(), { kind: 'editIdReused' })

  const out = join(dir, 'out')
  t.is((await run(['lists', 'get', '--out', out])).code, EXIT.ok)
  t.regex((await run(['lists', 'get', '--out', out])).notes, /the file exists; use --force/)
  const plansFile = join(out, 'plans.toml')
  await writeFile(plansFile, (await readFile(plansFile, 'utf8')).replace('burst = 20', 'burst = 30'))
  t.regex((await run(['lists', 'diff', '--plans', plansFile])).out, /compared with revision 1\n~ plan basic\n {4}burst 20 -> 30/)
  t.like((await run(['lists', 'edit', '--plans', plansFile, '--wait', '--json'])).json(), { kind: 'accepted', revision: 2, nodes: 0 })
  t.is((await run(['lists', 'edit', '--plans', plansFile])).code, EXIT.conflict)

  t.deepEqual(JSON.parse((await run(['lists', 'history', '--json'])).out).map((entry: { revision: number }) => entry.revision), [2, 1])
  t.like((await run(['status', '--json'])).json(), { revision: 2, confirmed: true })
  t.like(await run(['audit', 'verify']), { code: EXIT.ok })
  t.regex((await run(['audit', 'show'])).out, /ana {2}edit from revision 0: conflict with revision 1/)
})

// Guards against attempts with a wrong key that are missing in the audit trail, as when the command stops at its first denied request.
test('an edit with a wrong key is denied and audited', async (t) => {
  const run = await startFleet(t)
  t.is((await run(['cluster', 'init'])).code, EXIT.ok)
  const { dir, customers, plans } = await createListFiles()
  t.teardown(() => rm(dir, { recursive: true }))
  const res = await run(['lists', 'edit', '--customers', customers, '--plans', plans, '--base', '0'], { ORIOLESLIP_KEY: 'wrong-key-0123456789' })
  t.is(res.code, EXIT.denied)
  t.regex(res.notes, /the signature does not match; check the key/)
  // The attempt is recorded after the reply is sent, so the entry may appear later.
  const entry = /ana {2}edit: unauthenticated: the signature does not match/
  let trail = (await run(['audit', 'show'])).out
  while (!entry.test(trail)) trail = (await run(['audit', 'show'])).out
  t.regex(trail, entry)
})

// Guards against output that looks current although no leader exists to confirm it, and against commands that fail without a remedy.
test('commands without a cluster, settings or valid files name the remedy', async (t) => {
  const run = await startFleet(t)
  t.regex((await run(['status'])).out, /revision 0 \(not confirmed: no leader is known/)
  t.regex((await run(['lists', 'get'])).out, /^# Not confirmed/)
  t.like(await run(['status'], { ORIOLESLIP_KEY: undefined }), { code: EXIT.usage, notes: 'no operator key is set; use ORIOLESLIP_KEY or "key" in orioleslip.toml' })
  t.is((await run(['status', '--control', 'localhost'])).code, EXIT.usage)
  t.is((await run(['lists', 'frobnicate'])).code, EXIT.usage)
  t.is((await run(['--help'])).code, EXIT.ok)
  const { dir, customers, plans } = await createListFiles('branch-1')
  t.teardown(() => rm(dir, { recursive: true }))
  t.is((await run(['lists', 'validate', '--customers', customers, '--plans', plans])).out, 'valid: 1 customers, 1 plans')
  await writeFile(customers, '[customers]\nbranch-1 = "gone"\n')
  t.like(await run(['lists', 'validate', '--customers', customers, '--plans', plans]), {
    code: EXIT.usage, notes: 'customers.branch-1: plan "gone" is not in the plans list; add it or change the customer'
  })
})

// Guards against a missing record because only the first node, which may be unreachable, is contacted.
test('explain collects the records of all nodes', async (t) => {
  const run = await startFleet(t)
  const node = createServer((req, res) => {
    res.statusCode = req.url === '/.well-known/orioleslip/explain/req-1' ? 200 : 404
    res.end(JSON.stringify({ decision: 'admitted' }))
  })
  await new Promise<void>((resolve) => node.listen(0, HOST, resolve))
  t.teardown(() => node.close())
  const known = `${HOST}:${(node.address() as AddressInfo).port}`
  const found = await run(['explain', 'req-1', '--node', `${HOST}:${nextPort++}`, '--node', known, '--json'])
  t.like(found.json(), { found: [{ node: known, record: { decision: 'admitted' } }] })
  t.is((await run(['explain', 'req-2', '--node', known])).code, EXIT.unavailable)
})
