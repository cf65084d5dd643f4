import { z } from 'zod'
import { boundedArray } from '../json/bounded-schema.js'
import { MAX_PROBLEMS } from '../json/problems.js'

const identifier = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/, 'use 1 to 64 letters, digits, ".", "_" or "-"')
const MAX_TIMEOUT_MS = 3_600_000
/** Excess of a latency target over the timeout of its route from which the target is rejected as a mistake, in ms. */
export const MAX_TARGET_LATENCY_EXCESS_MS = 60_000

/** Retry rule of a route: `safe` requests may be sent to any number of servers, the others at most once per client attempt. */
export const repeatSchema = z.enum(['safe', 'once', 'once-upload'])
export type RepeatKind = z.infer<typeof repeatSchema>

/** A destination service of a route, with its weighted share of the route's requests. */
export const destinationSchema = z.strictObject({ service: identifier, weight: z.number().min(0) })
export type Destination = z.infer<typeof destinationSchema>

/** Rules for requests with one host and path prefix. */
export const routeSchema = z.strictObject({
  name: z.string().min(1).max(256),
  host: z.string().min(1).max(256),
  /** Begins and ends with a slash; the longest matching prefix wins. */
  prefix: z.string().regex(/^\/([^?#]*\/)?$/, 'begin and end with "/" and leave out query and fragment'),
  repeat: repeatSchema,
  /** 0 is the most important. */
  rank: z.number().int().min(0).max(1000),
  /** Longest time that a client waits for the response, in ms. */
  timeoutMs: z.number().min(1).max(MAX_TIMEOUT_MS),
  /** Time within which a response has its full value, in ms. */
  targetLatencyMs: z.number().min(0),
  /** Servers to which one client attempt may be sent. */
  maxAttempts: z.number().int().min(1).max(100),
  destinations: boundedArray(destinationSchema, z.array(z.unknown()).min(1).max(100))
})
export type Route = z.infer<typeof routeSchema>

/** A service as defined by operators. */
export const routedServiceSchema = z.strictObject({
  name: identifier,
  healthPath: z.string().optional(),
  /** Connections that one server of the service accepts. */
  maxConnections: z.number().int().min(1).optional()
})
export type RoutedService = z.infer<typeof routedServiceSchema>

/** Limits on the requests and connections of clients. */
export const clientLimitsSchema = z.strictObject({
  maxHeaderBytes: z.number().int().min(1),
  maxBodyBytes: z.number().int().min(0),
  /** Longest time for the headers of a request to arrive, in ms. */
  headerTimeoutMs: z.number().min(1),
  /** Longest time that a connection may stay idle, in ms. */
  idleTimeoutMs: z.number().min(1)
})
export type ClientLimits = z.infer<typeof clientLimitsSchema>

/** The routes that operators edit, as one document. */
export const routeListSchema = z.strictObject({
  limits: clientLimitsSchema,
  services: boundedArray(routedServiceSchema, z.array(z.unknown()).max(10_000)),
  routes: boundedArray(routeSchema, z.array(z.unknown()).max(100_000)),
  /** The document as the operator sent it, returned to reads; it is not sent to nodes. */
  source: z.unknown().optional()
}).superRefine((list, ctx) => {
  const known = new Set(list.services.map((service) => service.name))
  for (const [i, route] of list.routes.entries()) {
    // A document of many routes must not cost an object for each of them.
    if (ctx.issues.length >= MAX_PROBLEMS) return
    const issue = (message: string) => ctx.addIssue({ code: 'custom', path: ['routes', i], message: `route "${route.name}": ${message}` })
    for (const { service } of route.destinations) if (!known.has(service)) issue(`service "${service}" is not defined; add it or change the route`)
    if (route.destinations.reduce((sum, { weight }) => sum + weight, 0) <= 0) issue('the weights add up to 0; give one destination a weight')
    if (route.targetLatencyMs - route.timeoutMs >= MAX_TARGET_LATENCY_EXCESS_MS) issue('the latency target is a minute or more above the timeout; lower it')
  }
})
export type RouteList = z.infer<typeof routeListSchema>

/** A route list with the version that its operator assigned; versions increase, with gaps allowed. */
export type RoutesDocument = { revision: number, list: RouteList }
