import { importanceSchema } from '@orioleslip/core'
import { z } from 'zod'
import { downstreamSchema } from '../target/stand-in-target.js'

const name = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/, 'use 1 to 64 letters, digits, ".", "_" or "-"')
const seconds = z.number().positive().max(600)

const regionSchema = z.strictObject({ name, domains: z.array(name).min(1) })

const serviceSchema = z.strictObject({
  name,
  /** Servers, distributed over the regions first and then over their failure domains. */
  servers: z.number().int().min(1).max(40),
  slots: z.number().int().min(1),
  /** Requests that a server accepts at once; those beyond its slots wait in its queue. */
  connections: z.number().int().min(1),
  workMs: z.number().min(0),
  answerBytes: z.number().int().min(0).default(0),
  /** Downstream calls by method and first path segment, for example `GET /shifts`. */
  downstream: z.record(z.string().regex(/^(GET|POST) \/[^/\s]+$/, 'use a method and a first path segment, as in "GET /shifts"'), z.array(downstreamSchema)).default({})
})

const operationSchema = z.strictObject({
  name,
  service: name,
  method: z.enum(['GET', 'POST']),
  /** First path segment; requests append a number to it. */
  path: z.string().regex(/^\/[^/\s?#]+$/, 'use one path segment, as in "/shifts"'),
  importance: importanceSchema,
  repeatable: z.boolean(),
  /** Relative frequency among the clients' requests; 0 for operations that only services call. */
  share: z.number().min(0).default(0),
  deadlineMs: z.number().int().min(1).default(10_000),
  bodyBytes: z.number().int().min(0).default(0),
  interRegionBytesPerSecond: z.number().int().min(0).default(0)
})

const eventBase = { atS: z.number().min(0) }
const serverNumber = z.number().int().min(1).default(1)

/** A fault, or its end, at a time of the run. Servers of a service are numbered from 1. */
export const eventSchema = z.discriminatedUnion('kind', [
  z.strictObject({ ...eventBase, kind: z.literal('slow'), service: name, factor: z.number().positive() }),
  z.strictObject({ ...eventBase, kind: z.literal('heal'), service: name }),
  z.strictObject({ ...eventBase, kind: z.literal('killNode'), service: name, server: serverNumber, restartAfterS: seconds.optional() }),
  z.strictObject({ ...eventBase, kind: z.literal('killTarget'), service: name, server: serverNumber, restartAfterS: seconds.optional() }),
  z.strictObject({ ...eventBase, kind: z.literal('freeze'), process: z.enum(['node', 'target']), service: name, server: serverNumber, forS: seconds }),
  z.strictObject({ ...eventBase, kind: z.literal('controlStop'), control: z.number().int().min(1).default(1), restartAfterS: seconds.optional() }),
  z.strictObject({ ...eventBase, kind: z.literal('coldStart'), service: name, server: serverNumber })
])
export type ScenarioEvent = z.infer<typeof eventSchema>

const baseSchema = z.strictObject({
  name,
  description: z.string().default(''),
  regions: z.array(regionSchema).min(1),
  /** One-way delays of the links between VMs, in ms. */
  links: z.strictObject({ betweenDomainsMs: z.number().min(0), betweenRegionsMs: z.number().min(0) }),
  controls: z.union([z.literal(1), z.literal(3), z.literal(5)]).default(3),
  services: z.array(serviceSchema).min(1),
  operations: z.array(operationSchema).min(1),
  /** Customers that send requests and the plan that all of them are on. */
  lists: z.strictObject({
    customers: z.array(name).min(1),
    plan: name,
    ratePerSecond: z.number().positive(),
    burst: z.number().int().min(1)
  }),
  clients: z.strictObject({
    resendDelaysMs: z.array(z.number().int().min(0)).default([]),
    attemptTimeoutMs: z.number().int().min(1),
    delayMs: z.number().min(0).default(0)
  }),
  /** Time that a cold start takes, in ms; used by `coldStart` events. */
  coldStartMs: z.number().min(0).default(5000),
  /** Settings of the baseline variant, which runs without overload control. */
  baseline: z.strictObject({
    /** Times that a stand-in target retries a failed downstream call. */
    retriesPerHop: z.number().int().min(0).max(10).default(2),
    retryDelayMs: z.number().min(0).default(25)
  }).prefault({}),
  phases: z.array(z.strictObject({ name, factor: z.number().min(0).max(50), seconds })).min(1),
  events: z.array(eventSchema).default([])
})

/** A scenario file: a fleet, its load as multiples of the measured capacity, and events. */
export const scenarioSchema = baseSchema.superRefine((scenario, ctx) => {
  const addIssue = (path: Array<string | number>, message: string) => ctx.addIssue({ code: 'custom', path, message })
  const services = new Map(scenario.services.map((service) => [service.name, service]))
  const serviceNames = [...services.keys()].join(', ')
  scenario.services.forEach((service, i) => {
    if (service.connections < service.slots) addIssue(['services', i, 'connections'], `is below the ${service.slots} slots; use at least as many connections`)
    if (services.get(service.name) !== service) addIssue(['services', i, 'name'], `"${service.name}" is defined twice; rename one`)
    for (const [call, calls] of Object.entries(service.downstream)) {
      calls.forEach((to, j) => {
        const path = ['services', i, 'downstream', call, j]
        if (!services.has(to.service)) addIssue([...path, 'service'], `"${to.service}" is not a service of this scenario (${serviceNames})`)
        if (!isOperation(scenario, to)) addIssue(path, `add an operation for ${to.method} ${to.path} of "${to.service}", with share 0 if only services call it`)
      })
    }
  })
  if (hasCycle(scenario.services)) addIssue(['services'], 'the downstream calls form a cycle; remove one of them')
  scenario.operations.forEach((op, i) => {
    if (!services.has(op.service)) addIssue(['operations', i, 'service'], `"${op.service}" is not a service of this scenario (${serviceNames})`)
    if (op.method === 'GET' && !op.repeatable) addIssue(['operations', i, 'repeatable'], 'GET is always repeatable; set it to true or use POST')
    const samePath = (other: typeof op) => other.service === op.service && other.method === op.method && other.path === op.path
    const firstMatch = scenario.operations.findIndex((other) => other.name === op.name || samePath(other))
    if (firstMatch !== i) addIssue(['operations', i], `has the name or the path of operation ${firstMatch + 1}; remove one of them`)
  })
  if (scenario.operations.every((op) => op.share === 0)) addIssue(['operations'], 'give at least one operation a share above 0')
  const totalS = scenario.phases.reduce((sum, phase) => sum + phase.seconds, 0)
  scenario.events.forEach((event, i) => {
    if (event.atS > totalS) addIssue(['events', i, 'atS'], `is after the end of the last phase at ${totalS} s`)
    if (event.kind === 'controlStop') {
      if (event.control > scenario.controls) addIssue(['events', i, 'control'], `there are only ${scenario.controls} control VMs`)
      return
    }
    const service = services.get(event.service)
    if (service === undefined) addIssue(['events', i, 'service'], `"${event.service}" is not a service of this scenario (${serviceNames})`)
    else if ('server' in event && event.server > service.servers) addIssue(['events', i, 'server'], `"${event.service}" has only ${service.servers} servers`)
  })
})
export type Scenario = z.infer<typeof scenarioSchema>
export type ScenarioService = Scenario['services'][number]

type BaseScenario = z.infer<typeof baseSchema>

function isOperation (scenario: BaseScenario, call: { service: string, method: string, path: string }): boolean {
  const segment = firstSegment(call.path)
  return scenario.operations.some((op) => op.service === call.service && op.method === call.method && op.path === segment)
}

/** First segment of a path, with its slash. */
export function firstSegment (path: string): string {
  return `/${path.split('/')[1] ?? ''}`
}

function hasCycle (services: BaseScenario['services']): boolean {
  const calls = new Map<string, string[]>()
  for (const service of services) {
    for (const [from, downstream] of Object.entries(service.downstream)) {
      calls.set(`${service.name} ${from}`, downstream.map((to) => `${to.service} ${to.method} ${firstSegment(to.path)}`))
    }
  }
  const reachesItself = (start: string, at: string, seen: Set<string>): boolean => (calls.get(at) ?? []).some((next) => {
    if (next === start) return true
    if (seen.has(next)) return false
    seen.add(next)
    return reachesItself(start, next, seen)
  })
  return [...calls.keys()].some((start) => reachesItself(start, start, new Set()))
}
