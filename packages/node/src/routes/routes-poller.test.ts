import test from 'ava'
import type { RoutesChange } from '@orioleslip/control/client'
import { createFakeClock, type MembersView } from '@orioleslip/core'
import { pino } from 'pino'
import type { DocumentSource } from '../documents/document-poller.js'
import { createRoutesPoller } from './routes-poller.js'

/** Time within which new routes must be in effect on every node, in ms. */
const IN_FORCE_MS = 2500

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }

const change = (revision: number): RoutesChange => ({
  kind: 'full',
  document: { revision, list: { limits: LIMITS, services: [], routes: [] } }
})

// Guards against a node that misses the 2.5 s limit because it waits for a held poll of a control VM that has lost power, while another
// control VM has newer routes.
test('routes take effect in time when the polled control VM stops responding', async (t) => {
  const clock = createFakeClock()
  let isSilent = false
  let revision = 1
  const connect = (authority: string): DocumentSource<RoutesChange> => ({
    vmId: authority,
    since: (input, signal) => new Promise((resolve, reject) => {
      signal.addEventListener('abort', () => reject(new Error('poll aborted')), { once: true })
      if (isSilent && authority.startsWith('10.0.0.1')) return
      if (input.revision < revision) resolve({ change: change(revision), confirmed: true })
    }),
    close: () => Promise.resolve()
  })
  const poller = createRoutesPoller({
    seeds: [1, 2].map((n) => ({ address: `10.0.0.${n}`, apiPort: 1, gossipPort: 2 })),
    members: { all: () => [] } as unknown as MembersView,
    fleetKey: 'fleet-key-0123456789',
    vmId: 'n1',
    log: pino({ level: 'silent' }),
    clock,
    random: { next: () => 0.5, int: () => 0 },
    connect
  })
  await clock.advance(200)
  t.is(poller.current()?.revision, 1)
  isSilent = true
  revision = 2
  await clock.advance(IN_FORCE_MS)
  t.is(poller.current()?.revision, 2)
  await poller.stop()
})
