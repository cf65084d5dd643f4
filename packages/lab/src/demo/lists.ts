import { listsSchema, type Lists } from '@orioleslip/core'

/** Lists of the demonstration: one customer, a library branch, on the plan "branch". */
export function demoLists (ratePerSecond = 50): Lists {
  return listsSchema.parse({
    customers: { 'branch-7': 'branch' },
    plans: {
      branch: {
        ratePerSecond,
        burst: 20,
        operations: [
          { service: 'listings', method: 'GET', path: '/shifts/:id', importance: 'browse', repeatable: true },
          { service: 'members', method: 'GET', path: '/profiles/:id', importance: 'browse', repeatable: true },
          { service: 'claims', method: 'POST', path: '/claims/:shift', importance: 'claim', repeatable: false }
        ]
      }
    }
  })
}
