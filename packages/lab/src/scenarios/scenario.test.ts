import { readdirSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { parse, stringify } from 'smol-toml'
import { chainOf, deepestService, fleetSpecOf, nominalCapacity } from './fleet-spec.js'
import { loadScenario, parseScenario } from './scenario-file.js'
import type { Scenario } from './schema.js'

const FOLDER = fileURLToPath(new URL('../../scenarios/', import.meta.url))
const library = readFileSync(`${FOLDER}library.toml`, 'utf8')

type RawFile = {
  services: Array<Record<string, unknown>>,
  operations: Array<Record<string, unknown>>,
  events: Array<Record<string, unknown>>
}

/** Error message for the library scenario after a change; empty when it is valid. */
function errorAfter (change: (raw: RawFile) => void): string {
  const raw = parse(library) as unknown as RawFile
  change(raw)
  const parsed = parseScenario(stringify(raw))
  return parsed.isErr() ? parsed.error.message : ''
}

function libraryScenario (): Scenario {
  return parseScenario(library)._unsafeUnwrap()
}

// Guards against scenario files that a schema change has made invalid: they are read only when a benchmark runs.
for (const file of readdirSync(FOLDER)) {
  test(`${file} is valid`, (t) => {
    const loaded = loadScenario(`${FOLDER}${file}`)
    t.is(loaded.isErr() ? loaded.error.message : '', '')
  })
}

// Guards against references to services, operations, servers or control VMs that don't exist; without the check, they fail in the middle
// of a run.
test('an invalid reference is reported with its path and the remedy', (t) => {
  const wrongService = errorAfter((raw) => { raw.operations[0]!['service'] = 'listing' })
  t.regex(wrongService, /operations\.0\.service: "listing" is not a service of this scenario \(listings, claims/)
  const unlisted = errorAfter((raw) => { raw.operations.pop() })
  t.regex(unlisted, /services\.0\.downstream\.GET \/shifts\.0: add an operation for GET \/profiles\/1 of "members"/)
  const noServer = errorAfter((raw) => { raw.events.push({ atS: 2, kind: 'killNode', service: 'members', server: 9 }) })
  t.regex(noServer, /events\.2\.server: "members" has only 3 servers/)
  const tooLate = errorAfter((raw) => { raw.events.push({ atS: 500, kind: 'heal', service: 'members' }) })
  t.regex(tooLate, /events\.2\.atS: is after the end of the last phase/)
  const noControl = errorAfter((raw) => { raw.events.push({ atS: 2, kind: 'controlStop', control: 4 }) })
  t.regex(noControl, /events\.2\.control: there are only 3 control VMs/)
})

// Guards against misspelt fields, which a non-strict schema ignores, and against requests without end, when services call each other
// in a cycle.
test('unknown fields, cycles and impossible values are reported', (t) => {
  t.regex(errorAfter((raw) => { raw.services[0]!['slot'] = 3 }), /services\.0: Unrecognized key: "slot"/)
  const loop = { 'GET /profiles': [{ service: 'listings', path: '/shifts/1' }] }
  t.regex(errorAfter((raw) => { raw.services[3]!['downstream'] = loop }), /form a cycle/)
  t.regex(errorAfter((raw) => { raw.services[0]!['connections'] = 3 }), /services\.0\.connections: is below the 20 slots/)
  t.regex(errorAfter((raw) => { raw.operations[0]!['repeatable'] = false }), /GET is always repeatable/)
  t.regex(parseScenario('name = ').match(() => '', (error) => error.message), /not valid TOML/)
})

// Guards against goodput that counts incomplete responses: a chain that leaves out the deepest service also accepts a response without it.
test('the chain of an operation follows the downstream calls', (t) => {
  const chain = chainOf(libraryScenario(), 'claims', 'POST /claims')
  t.deepEqual(chain, { service: 'claims', downstream: [{ service: 'listings', downstream: [{ service: 'members', downstream: [] }] }] })
  t.is(deepestService(libraryScenario()), 'members')
  t.is(nominalCapacity(libraryScenario()), 75)
})

// Guards against a comparison of unlike fleets, when the baseline still uses overload control, and against one failure domain that holds
// two servers of a service while others are free.
test('the fleets of the variants differ only in overload control and hop retries', (t) => {
  const [product, baseline] = [fleetSpecOf(libraryScenario(), 'product'), fleetSpecOf(libraryScenario(), 'baseline')]
  t.true(product.vms.every((vm) => vm.node === undefined && vm.target?.downstreamRetries === undefined))
  t.true(baseline.vms.every((vm) => vm.node?.overloadControl === false && vm.target?.downstreamRetries === 2))
  t.deepEqual(product.vms.map((vm) => [vm.vmId, vm.failureDomain]), baseline.vms.map((vm) => [vm.vmId, vm.failureDomain]))
  const domains = product.vms.filter((vm) => vm.target?.service === 'members').map((vm) => vm.failureDomain)
  t.is(new Set(domains).size, 3)
})
