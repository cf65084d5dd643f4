import type { IncomingMessage } from 'node:http'
import { getRequestListener } from '@hono/node-server'
import { WELL_KNOWN_PREFIX, withWholeBodies, type BodyLimit, type Member, type RequestVerifier } from '@orioleslip/core'
import { Hono } from 'hono'
import type { DecisionRecords } from '../calls/decision-records.js'
import type { StatsSnapshot } from '../calls/node-stats.js'
import { announcementSchema, type Announcement } from '../target/local-target.js'
import type { RequestListener } from './caller-server.js'

export type WellKnownOptions = {
  /** `address:port` of the caller listener, which is part of what signed requests are signed for. */
  authority: string
  verify: RequestVerifier
  announce: (announcement: Announcement) => Promise<boolean>
  records: DecisionRecords
  members: () => Member[]
  stats: () => StatsSnapshot
  /** Returns the state of this node for operators and tools. */
  state: () => Record<string, unknown>
}

/** Announcements are small. */
const BODY_LIMIT: BodyLimit = {
  maxBytes: 64 * 1024,
  tooLarge: { type: 'application/json', text: JSON.stringify({ error: 'the announcement exceeds 64 KiB' }) }
}

/** Creates the endpoints of the node itself: announcements of the target, decision records, members, counters and state. */
export function createWellKnown (options: WellKnownOptions): RequestListener {
  const app = new Hono<{ Bindings: { incoming: IncomingMessage } }>().basePath(WELL_KNOWN_PREFIX.slice(0, -1))
  app.put('/target', async (c) => {
    // Only a process on this VM may announce a target; it connects from the VM's own address.
    const { remoteAddress, localAddress } = c.env.incoming.socket
    if (remoteAddress !== localAddress) return c.json({ error: `announcements are accepted from this VM only, not from ${remoteAddress}` }, 403)
    const parsed = announcementSchema.safeParse(await c.req.json().catch(() => undefined))
    if (!parsed.success) {
      const issues = parsed.error.issues.map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`)
      return c.json({ error: `malformed announcement: ${issues.join('; ')}` }, 400)
    }
    return c.json({ accepted: await options.announce(parsed.data) })
  })
  // The endpoints below are for operators and processes of the fleet, not for callers.
  app.use('*', async (c, next) => {
    const { pathname, search } = new URL(c.req.url)
    const signed = { method: c.req.method, authority: options.authority, path: pathname + search, body: '' }
    const caller = options.verify(c.req.header('authorization'), signed)
    if (caller.kind === 'unauthenticated') return c.json({ error: caller.reason }, 401)
    return next()
  })
  app.get('/explain/:requestId', (c) => {
    const records = options.records.find(c.req.param('requestId'))
    return records.length === 0 ? c.json({ error: 'no record of this request on this node' }, 404) : c.json({ records })
  })
  app.get('/members', (c) => c.json({ members: options.members() }))
  app.get('/stats', (c) => c.json(options.stats()))
  app.get('/state', (c) => c.json(options.state()))
  const listener = withWholeBodies(getRequestListener(app.fetch), BODY_LIMIT)
  return async (req, res) => { listener(req, res) }
}
