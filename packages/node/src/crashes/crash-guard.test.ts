import test from 'ava'
import { createCanceller, createFakeClock, type TargetState } from '@orioleslip/core'
import type { Announcement } from '../target/local-target.js'
import { nodeMember } from '../testing/node-member.js'
import { createCrashGuard, type CrashAdmission, type CrashGuard } from './crash-guard.js'

const POISON = 1
const never = createCanceller().signal
const processOf = (host: string): Announcement => ({ service: 'shop', port: 1, capacity: 10, state: 'ready', instance: `i-${host}` })

/**
 * Creates the guards of nodes beside targets of one service, and of others beside those of another; a target that is not up refuses
 * connections.
 */
function createFleet (hosts: string[], others: string[] = []) {
  const clock = createFakeClock()
  const states = new Map<string, TargetState>(hosts.map((host) => [host, 'ready']))
  const guards = new Map<string, CrashGuard>()
  const memberOf = (host: string) => nodeMember(host, others.includes(host) ? 'other' : 'shop', states.get(host) ?? 'gone')
  const startGuard = (host: string) => {
    const guard = createCrashGuard({
      clock,
      host,
      log: { debug: () => {}, info: () => {}, warn: () => {} },
      members: { self: () => memberOf(host).record, all: () => [...hosts, ...others].map(memberOf), ofService: () => hosts.map(memberOf) },
      request: async (peer, kind, body) => guards.get(peer.host)?.handleRequest(kind, body),
      probe: async () => states.get(host) === 'ready' ? 'listening' : 'refused',
      onCrash: () => {}
    })
    guards.set(host, guard)
    return guard
  }
  for (const host of [...hosts, ...others]) startGuard(host)
  const guard = (host: string) => guards.get(host)!
  const admit = async (host: string, fingerprint: number) => await guard(host).admit(fingerprint, 'shop', never)
  /** Ends the target of a node while it runs these calls. */
  const crash = async (host: string, fingerprints: number[]) => {
    const running = fingerprints.map((fingerprint) => guard(host).started(fingerprint, processOf(host)))
    states.set(host, 'gone')
    const lost = Promise.all(running.map((call) => call.lost()))
    await clock.advance(100)
    return await lost
  }
  return { clock, states, guard, admit, crash, startGuard }
}

const asSuspect = (admission: CrashAdmission) => admission.kind === 'run' && admission.asSuspect
const refusalCode = (admission: CrashAdmission) => admission.kind === 'refused' ? admission.refusal.code : undefined

// Guards against a request that ends a target per node because what one node has seen is not known to the others before its retry.
test('all nodes know of a crash before its calls are refused, and block the request after the second', async (t) => {
  const { admit, crash, guard } = createFleet(['a', 'b', 'c'])
  t.deepEqual(await crash('a', [POISON, 2]), [true, true])
  t.deepEqual(await Promise.all([2, 3].map(async (fingerprint) => asSuspect(await admit('c', fingerprint)))), [true, false])
  await crash('b', [POISON, 4])
  const refused = await admit('c', POISON)
  t.is(refusalCode(refused), 'request-blocked')
  t.like(refused, { refusal: { outcome: 'not-run', retryAfterS: 60 } })
  t.is(guard('c').refusalBeforeSend(POISON, false)?.code, 'request-blocked')
  t.false(asSuspect(await admit('c', 4)))
})

// Guards against a crash that the other nodes don't accept because the target was running too many calls.
test('a crash with more calls than a report can name reaches the other nodes', async (t) => {
  const { admit, crash } = createFleet(['a', 'b'])
  await crash('a', Array.from({ length: 600 }, (_, i) => i + 1))
  t.deepEqual([asSuspect(await admit('b', 512)), asSuspect(await admit('b', 600))], [false, false])
  t.is(refusalCode(await admit('b', 512)), 'no-target')
  t.is(refusalCode(await admit('b', 600)), undefined)
})

// Guards against several suspects at one target, of which its next crash would not show the one to blame.
test('suspects run one at a time at each target, and one that completes is cleared on all nodes', async (t) => {
  const { admit, crash, guard } = createFleet(['a', 'b', 'c'])
  await crash('a', [2, 3])
  const first = await admit('b', 2)
  const waiting = admit('b', 3)
  t.true(asSuspect(first))
  t.true(asSuspect(await admit('c', 3)), 'another target runs one of its own')
  t.is(guard('b').refusalBeforeSend(3, false)?.code, 'no-target', 'a call that was admitted before the report does not run beside it')
  guard('c').completed(guard('c').started(3, processOf('c')), 'shop')
  t.deepEqual(await waiting, { kind: 'run', asSuspect: false, release: (await waiting as { release: () => void }).release })
  t.false(asSuspect(await admit('b', 3)))
  t.true(asSuspect(first))
})

// Guards against the loss of a whole service: a request that may have ended the other targets is sent to the last one.
test('a suspect does not run at the last target that is up, unless the service has no other', async (t) => {
  const { admit, crash, states } = createFleet(['a', 'b'])
  await crash('a', [POISON, 2])
  t.is(refusalCode(await admit('b', 2)), 'no-target')
  states.set('a', 'ready')
  t.true(asSuspect(await admit('b', 2)))
  const single = createFleet(['a'])
  await single.crash('a', [2])
  t.true(asSuspect(await single.admit('a', 2)))
})

// Guards against a request that ends targets anew after the node that had learnt of it was restarted.
test('a node that starts takes over what the others know', async (t) => {
  const { admit, crash, clock, startGuard } = createFleet(['a', 'b', 'c'])
  await crash('a', [POISON])
  await crash('b', [POISON])
  const restarted = startGuard('c')
  t.false(asSuspect(await admit('c', POISON)))
  restarted.takeOver('shop')
  await clock.advance(0)
  t.is(refusalCode(await admit('c', POISON)), 'request-blocked')
})

// Guards against a request that ends all targets of a service once more because the nodes that had learnt of it were killed at once.
test('what the nodes of a service know outlives a kill of all of them at once', async (t) => {
  const hosts = ['a', 'b', 'c', 'd']
  const { admit, crash, clock, guard, startGuard } = createFleet(hosts, ['e', 'f', 'g'])
  await crash('a', [POISON])
  await crash('b', [POISON])
  await crash('c', [2, 3])
  guard('d').completed(guard('d').started(2, processOf('d')), 'shop')
  await clock.advance(10_000)
  for (const restarted of hosts.map(startGuard)) await restarted.takeOver('shop')
  for (const host of hosts) {
    const refused = await admit(host, POISON)
    t.is(refusalCode(refused), 'request-blocked')
    t.like(refused, { refusal: { retryAfterS: 50 } })
  }
  const judged = await Promise.all([2, 3].map((fingerprint) => guard('d').refusalBeforeSend(fingerprint, false)?.code))
  t.deepEqual(judged, [undefined, 'no-target'])
})

// Guards against a request that is blocked for good although its service was mended.
test('a request that completes after its block is served again', async (t) => {
  const { admit, crash, clock, guard, states } = createFleet(['a', 'b', 'c'])
  await crash('a', [POISON])
  await crash('b', [POISON])
  states.set('a', 'ready')
  await clock.advance(60_000)
  t.true(asSuspect(await admit('c', POISON)))
  guard('c').completed(guard('c').started(POISON, processOf('c')), 'shop')
  await clock.advance(0)
  t.deepEqual([asSuspect(await admit('a', POISON)), refusalCode(await admit('a', POISON))], [false, undefined])
})
