import test from 'ava'
import { linkDelayMs, type LinkPlan } from './link-plan.js'

const plan: LinkPlan = {
  betweenDomainsMs: 1.5,
  betweenRegionsMs: 20,
  places: { 1: { region: 'r1', failureDomain: 'a' }, 2: { region: 'r1', failureDomain: 'b' }, 3: { region: 'r2', failureDomain: 'a' } }
}

// Guards against a missing delay between two regions that have failure domains of the same name, and against delayed connections to ports
// that are not in the plan, such as those for callers.
test('the delay follows region and failure domain', (t) => {
  const self = { region: 'r1', failureDomain: 'a' }
  t.deepEqual([1, 2, 3, 4].map((port) => linkDelayMs(plan, self, port)), [0, 1.5, 20, 0])
})
