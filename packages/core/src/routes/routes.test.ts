import test from 'ava'
import { applyRoutesDelta, diffRoutes } from './delta.js'
import { createRoutesIndex } from './lookup.js'
import { routeListSchema, type Route } from './schema.js'

const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
const routeOf = (name: string, prefix: string, overrides: Partial<Route> = {}): Route => ({
  name,
  host: 'a.example',
  prefix,
  repeat: 'safe',
  rank: 1,
  timeoutMs: 800,
  targetLatencyMs: 1200,
  maxAttempts: 2,
  destinations: [{ service: 's', weight: 1 }],
  ...overrides
})
const listOf = (...routes: Route[]) => ({ limits: LIMITS, services: [{ name: 's' }], routes })
const problemsOf = (route: Route) => routeListSchema.safeParse(listOf(route)).error?.issues.map((issue) => issue.message).join()

// Guards against routing a request by a shorter prefix than the most specific one, or by a prefix that ends within a path segment.
test('the longest matching prefix of a host wins', (t) => {
  const list = listOf(routeOf('all', '/'), routeOf('short', '/a/'), routeOf('long', '/a/b/'), routeOf('other', '/x/', { host: 'b.example' }))
  const { lookup } = createRoutesIndex({ revision: 1, list })
  t.is(lookup('a.example', '/a/b/c')?.name, 'long')
  t.is(lookup('A.Example', '/a/bc')?.name, 'short')
  t.is(lookup('a.example', '/ab')?.name, 'all')
  t.is(lookup('b.example', '/x/')?.name, 'other')
  t.is(lookup('b.example', '/y/'), undefined)
  t.is(lookup('c.example', '/'), undefined)
})

/** Time of 50 lookups of a path with so many empty segments behind its prefix, the lowest of 7 runs, in ms. */
function lookupMs (segments: number): number {
  const { lookup } = createRoutesIndex({ revision: 1, list: listOf(routeOf('short', '/a/')) })
  const path = `/a/${'/'.repeat(segments)}`
  const runs = Array.from({ length: 7 }, () => {
    const startMs = performance.now()
    for (let i = 0; i < 50; i++) lookup('a.example', path)
    return performance.now() - startMs
  })
  return Math.min(...runs)
}

// Guards against a node that is busy for 0.1 s with one path of 15 kB: each of its segments was looked up with all before it.
test('the time of a lookup grows at most with the length of the path', (t) => {
  const shortMs = lookupMs(750)
  const longMs = lookupMs(15_000)
  t.true(longMs < 20 * shortMs, `${shortMs} ms, with 20 times as many segments ${longMs} ms`)
})

// Guards against activating a route list that nodes can't apply, because a route has no usable destination, timeout or prefix.
test('invalid routes are rejected with a reason', (t) => {
  t.is(problemsOf(routeOf('r', '/a/')), undefined)
  t.regex(problemsOf(routeOf('r', '/a/', { destinations: [{ service: 'gone', weight: 1 }] })) ?? '', /service "gone" is not defined/)
  t.regex(problemsOf(routeOf('r', '/a/', { destinations: [{ service: 's', weight: 0 }] })) ?? '', /add up to 0/)
  t.regex(problemsOf(routeOf('r', '/a/', { timeoutMs: 0 })) ?? '', />=1/)
  t.regex(problemsOf(routeOf('r', '/a/', { targetLatencyMs: 60_800 })) ?? '', /a minute or more above/)
  t.is(problemsOf(routeOf('r', '/a/', { targetLatencyMs: 60_799 })), undefined)
  t.regex(problemsOf(routeOf('r', '/a')) ?? '', /begin and end with/)
})

// Guards against nodes whose routes diverge from those of the control VMs after a delta, and against deltas that hold unchanged routes
// and so are as large as the whole list.
test('a delta contains only the differences and reproduces the new routes', (t) => {
  const many = Array.from({ length: 300 }, (_, i) => routeOf(`r${i}`, `/p${i}/`))
  const before = { revision: 3, list: listOf(...many) }
  const after = { revision: 7, list: listOf(...many.slice(1, 299), routeOf('r299', '/p299/', { timeoutMs: 5 }), routeOf('new', '/new/')) }
  const delta = diffRoutes(before, after)!
  t.deepEqual(delta.removed, ['a.example /p0/'])
  t.deepEqual(delta.set.map(({ name }) => name), ['r299', 'new'])
  t.is(delta.services, undefined)
  t.deepEqual(applyRoutesDelta(before, delta), after)
  t.is(applyRoutesDelta(after, delta), undefined)
  t.is(diffRoutes(before, { revision: 8, list: listOf(routeOf('a', '/x/'), routeOf('b', '/x/')) }), undefined)
})
