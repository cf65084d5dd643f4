import { listsSchema, type Lists } from '@orioleslip/core'
import type { FleetSpec, VmSpec } from '../fleet/fleet.js'
import type { Chain, LoadOperation } from '../load/operations.js'
import { firstSegment, type Scenario } from './schema.js'

/** `product` runs the nodes with overload control, `baseline` without it and with retries at every hop. */
export type Variant = 'product' | 'baseline'

/** Fleet specification of one variant of a scenario. */
export function fleetSpecOf (scenario: Scenario, variant: Variant): FleetSpec {
  const vms: VmSpec[] = scenario.services.flatMap((service) => Array.from({ length: service.servers }, (_, i) => ({
    vmId: `${service.name}-${i + 1}`,
    ...placeOf(scenario, i),
    target: {
      service: service.name,
      slots: service.slots,
      queue: service.connections - service.slots,
      workMs: service.workMs,
      answerBytes: service.answerBytes,
      downstream: service.downstream,
      ...(variant === 'baseline'
        ? { downstreamRetries: scenario.baseline.retriesPerHop, downstreamRetryDelayMs: scenario.baseline.retryDelayMs }
        : {})
    },
    ...(variant === 'baseline' ? { node: { overloadControl: false } } : {})
  })))
  const controls = Array.from({ length: scenario.controls }, (_, i) => ({ vmId: `control-${i + 1}`, ...placeOf(scenario, i) }))
  return { controls, vms, lists: listsOf(scenario), links: scenario.links }
}

/** Region and failure domain of server or control VM `i`: round-robin over the regions, and over the failure domains of each. */
function placeOf (scenario: Scenario, i: number): { region: string, failureDomain: string } {
  const region = scenario.regions[i % scenario.regions.length]!
  const round = Math.floor(i / scenario.regions.length)
  return { region: region.name, failureDomain: region.domains[round % region.domains.length]! }
}

/** Customer and plan lists of a scenario. */
export function listsOf (scenario: Scenario): Lists {
  const { customers, plan, ratePerSecond, burst } = scenario.lists
  return listsSchema.parse({
    customers: Object.fromEntries(customers.map((customer) => [customer, plan])),
    plans: {
      [plan]: {
        ratePerSecond,
        burst,
        operations: scenario.operations.map(({ service, method, path, importance, repeatable, deadlineMs, interRegionBytesPerSecond }) => ({
          service, method, path: `${path}/:id`, importance, repeatable, timeoutMs: deadlineMs, interRegionBytesPerSecond
        }))
      }
    }
  })
}

/** Operations that clients call. */
export function loadOperationsOf (scenario: Scenario): LoadOperation[] {
  return scenario.operations.filter((op) => op.share > 0).map((op) => ({
    name: op.name,
    service: op.service,
    method: op.method,
    path: op.path,
    importance: op.importance,
    repeatable: op.repeatable,
    share: op.share,
    deadlineMs: op.deadlineMs,
    bodyBytes: op.bodyBytes,
    chain: chainOf(scenario, op.service, `${op.method} ${op.path}`)
  }))
}

/** Services that a call passes through, in the order in which a stand-in target's response lists them. */
export function chainOf (scenario: Scenario, service: string, call: string): Chain {
  const calls = scenario.services.find((candidate) => candidate.name === service)?.downstream[call] ?? []
  const ordered = [...calls].sort((a, b) => a.stage - b.stage)
  return { service, downstream: ordered.map((to) => chainOf(scenario, to.service, `${to.method} ${firstSegment(to.path)}`)) }
}

/** Requests per second that slots and work times allow; an upper bound to which the steps of the peak search are relative. */
export function nominalCapacity (scenario: Scenario): number {
  const operations = loadOperationsOf(scenario)
  const total = operations.reduce((sum, op) => sum + op.share, 0)
  const callsPerRequest = (service: string) => operations.reduce((sum, op) => sum + op.share / total * occurrencesOf(op.chain, service), 0)
  return Math.min(...scenario.services.map((service) => {
    const calls = callsPerRequest(service.name)
    return calls === 0 || service.workMs === 0 ? Infinity : service.servers * service.slots * 1000 / service.workMs / calls
  }))
}

function occurrencesOf (chain: Chain, service: string): number {
  return chain.downstream.reduce((sum, part) => sum + occurrencesOf(part, service), chain.service === service ? 1 : 0)
}

/** Name of the service that others call and that calls none; of the last service if there is none. */
export function deepestService (scenario: Scenario): string {
  const called = new Set(scenario.services.flatMap((service) => Object.values(service.downstream).flat().map((call) => call.service)))
  const deepest = scenario.services.find((service) => called.has(service.name) && Object.keys(service.downstream).length === 0)
  return (deepest ?? scenario.services[scenario.services.length - 1]!).name
}
