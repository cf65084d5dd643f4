import test from 'ava'
import { linkDelayMs, type LinkPlan } from './link-plan.js'

const plan: LinkPlan = {
  betweenDomainsMs: 1.5,
  betweenRegionsMs: 20,
  places: { 1: { region: 'r1', failureDomain: 'a' }, 2: { region: 'r1', failureDomain: 'b' }, 3: { region: 'r2', failureDomain: 'a' } }
}

// Guards against domains of equal name in two regions being taken for one, and against delays to callers' ports.
test('the delay follows region and failure domain', (t) => {
  const self = { region: 'r1', failureDomain: 'a' }
  t.deepEqual([1, 2, 3, 4].map((port) => linkDelayMs(plan, self, port)), [0, 1.5, 20, 0])
})
