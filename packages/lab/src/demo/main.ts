import { randomUUID } from 'node:crypto'
import { HEADERS } from '@orioleslip/core'
import { request } from 'undici'
import { getJson, startFleet, waitUntil, type Fleet } from '../fleet/fleet.js'
import { demoFleet } from './fleet-spec.js'
import { demoLists } from './lists.js'

type CallResponse = { status: number, outcome: string, text: string, requestId: string }

let failures = 0

function check (what: string, ok: boolean, details: string): void {
  if (!ok) failures++
  process.stdout.write(`${ok ? 'ok  ' : 'FAIL'} ${what}: ${details}\n`)
}

async function call (url: string, method: 'GET' | 'POST', headers: Record<string, string>, body?: string): Promise<CallResponse> {
  const res = await request(url, { method, headers, ...(body === undefined ? {} : { body }) })
  return {
    status: res.statusCode,
    outcome: String(res.headers[HEADERS.outcome] ?? ''),
    requestId: String(res.headers[HEADERS.requestId] ?? ''),
    text: await res.body.text()
  }
}

/** Services that contributed to a target's response, outermost first. */
function chainOf (text: string): string[] {
  const response = JSON.parse(text) as { service: string, downstream: unknown[] }
  return [response.service, ...response.downstream.flatMap((inner) => chainOf(JSON.stringify(inner)))]
}

async function showCalls (fleet: Fleet): Promise<void> {
  const customer = { [HEADERS.customer]: 'branch-7' }
  const [first, second] = [fleet.vms[0]!, fleet.vms[5]!]
  const key = randomUUID()

  const claim = await call(`${first.url}/claims/claims/7`, 'POST', { ...customer, [HEADERS.idempotencyKey]: key }, '{"shift":7}')
  check('a claim crosses three services and comes back whole', claim.status === 200 && chainOf(claim.text).join(' > ') === 'claims > listings > members',
    `${claim.status} ${claim.outcome}, ${claim.status === 200 ? chainOf(claim.text).join(' > ') : claim.text}`)

  const resent = await call(`${second.url}/claims/claims/7`, 'POST', { ...customer, [HEADERS.idempotencyKey]: key }, '{"shift":7}')
  check('the same claim resent through another node gets the same answer', resent.status === 200 && resent.text === claim.text, `${resent.status}, ${resent.text === claim.text ? 'identical' : resent.text}`)
  const runs = (await Promise.all(fleet.vmsOfService('claims').map((vm) => vm.counts()))).reduce((sum, counts) => sum + (counts.runsByKey[key] ?? 0), 0)
  check('the claim ran once', runs === 1, `${runs} run(s)`)

  const other = await call(`${second.url}/claims/claims/7`, 'POST', { ...customer, [HEADERS.idempotencyKey]: key }, '{"shift":8}')
  check('the same key with another body is a conflict', other.status === 422, `${other.status} ${other.outcome}`)

  const browse = await call(`${second.url}/listings/shifts/7`, 'GET', customer)
  check('a listing is read', browse.status === 200 && chainOf(browse.text).length === 2, `${browse.status}, ${browse.status === 200 ? chainOf(browse.text).join(' > ') : browse.text}`)

  const unlisted = await call(`${first.url}/claims/everything`, 'POST', customer)
  check('an unlisted write is refused as not run', unlisted.status === 403 && unlisted.outcome === 'not-run', `${unlisted.status} ${unlisted.outcome}`)
  const withoutCustomer = await call(`${first.url}/listings/shifts/7`, 'GET', {})
  check('a request without a customer is refused', withoutCustomer.status === 400 && withoutCustomer.outcome === 'not-run', `${withoutCustomer.status} ${withoutCustomer.outcome}`)

  const explained = await fleet.operator(['explain', claim.requestId])
  check('the claim can be explained', explained.code === 0 && explained.stdout.includes(claim.requestId), explained.code === 0 ? 'record found' : explained.stderr.trim())
}

async function showEdit (fleet: Fleet): Promise<void> {
  await fleet.setLists(demoLists(60))
  await waitUntil('the edit is in force on every node', async () => {
    const revisions = await Promise.all(fleet.vms.map(async (vm) => {
      const { revision } = await getJson<{ revision: number }>(`${vm.url}/.well-known/orioleslip/state`)
      return revision
    }))
    return revisions.every((revision) => revision === 2)
  })
  const status = await fleet.operator(['status'])
  check('an edit is in force on every node', status.code === 0, `revision 2 on ${fleet.vms.length} nodes`)
  process.stdout.write(status.stdout.replace(/^/gm, '     '))
  const audit = await fleet.operator(['audit', 'verify'])
  check('the audit trail verifies', audit.code === 0, audit.stdout.trim() || audit.stderr.trim())
}

process.stdout.write('starting 3 control VMs, 6 nodes and 6 stand-in targets\n')
const fleet = await startFleet(demoFleet())
try {
  await showCalls(fleet)
  await showEdit(fleet)
} finally {
  await fleet.stop()
}
process.stdout.write(failures === 0 ? 'every step went as described\n' : `${failures} step(s) failed\n`)
process.exitCode = failures === 0 ? 0 : 1
