import { z } from 'zod'

const identifier = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/, 'use 1 to 64 letters, digits, ".", "_" or "-"')
const MAX_TIMEOUT_MS = 3_600_000
/** A latency target this far above the timeout of its route can't be meant, in ms. */
export const MAX_TARGET_LATENCY_EXCESS_MS = 60_000

/** What may be sent again: `safe` requests to any number of servers, the others at most once per client attempt. */
export const repeatSchema = z.enum(['safe', 'once', 'once-upload'])
export type RepeatKind = z.infer<typeof repeatSchema>

/** A service that a route leads to, with its share of the route's requests. */
export const destinationSchema = z.strictObject({ service: identifier, weight: z.number().min(0) })
export type Destination = z.infer<typeof destinationSchema>

/** Requests with one host and path prefix. */
export const routeSchema = z.strictObject({
  name: z.string().min(1).max(256),
  host: z.string().min(1).max(256),
  /** Begins and ends with a slash; the longest prefix that begins a path wins. */
  prefix: z.string().regex(/^\/([^?#]*\/)?$/, 'begin and end with "/" and leave out query and fragment'),
  repeat: repeatSchema,
  /** 0 is the most important. */
  rank: z.number().int().min(0).max(1000),
  /** Longest time that a client is kept waiting, in ms. */
  timeoutMs: z.number().min(1).max(MAX_TIMEOUT_MS),
  /** Time within which an answer has its full value, in ms. */
  targetLatencyMs: z.number().min(0),
  /** Servers to which one client attempt may be sent. */
  maxAttempts: z.number().int().min(1).max(100),
  destinations: z.array(destinationSchema).min(1).max(100)
})
export type Route = z.infer<typeof routeSchema>

/** A service as operators describe it. */
export const routedServiceSchema = z.strictObject({
  name: identifier,
  healthPath: z.string().optional(),
  /** Connections that one server of the service accepts. */
  maxConnections: z.number().int().min(1).optional()
})
export type RoutedService = z.infer<typeof routedServiceSchema>

/** Bounds on what a client may send. */
export const clientLimitsSchema = z.strictObject({
  maxHeaderBytes: z.number().int().min(1),
  maxBodyBytes: z.number().int().min(0),
  /** Longest time for the head of a request to arrive, in ms. */
  headerTimeoutMs: z.number().min(1),
  /** Longest time that a connection may stay idle, in ms. */
  idleTimeoutMs: z.number().min(1)
})
export type ClientLimits = z.infer<typeof clientLimitsSchema>

/** The routes that operators edit, as one document. */
export const routeListSchema = z.strictObject({
  limits: clientLimitsSchema,
  services: z.array(routedServiceSchema).max(10_000),
  routes: z.array(routeSchema).max(100_000),
  /** The document as the operator sent it, for reads; nodes get the list without it. */
  source: z.unknown().optional()
}).superRefine((list, ctx) => {
  const known = new Set(list.services.map((service) => service.name))
  list.routes.forEach((route, i) => {
    const issue = (message: string) => ctx.addIssue({ code: 'custom', path: ['routes', i], message: `route "${route.name}": ${message}` })
    for (const { service } of route.destinations) if (!known.has(service)) issue(`service "${service}" is not defined; add it or change the route`)
    if (route.destinations.reduce((sum, { weight }) => sum + weight, 0) <= 0) issue('the weights add up to 0; give one destination a weight')
    if (route.targetLatencyMs - route.timeoutMs >= MAX_TARGET_LATENCY_EXCESS_MS) issue('the latency target is a minute or more above the timeout; lower it')
  })
})
export type RouteList = z.infer<typeof routeListSchema>

/** A route list with the version that its operator gave it; versions increase but may skip. */
export type RoutesDocument = { revision: number, list: RouteList }
