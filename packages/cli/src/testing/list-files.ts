import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const PLANS = `[plans.basic]
ratePerSecond = 10
burst = 20
[[plans.basic.operations]]
service = "claims"
method = "POST"
path = "/shifts/:id/claim"
importance = "claim"
repeatable = false
`

/** Writes list files into a new temporary folder. */
export async function createListFiles (customer = 'branch-1') {
  const dir = await mkdtemp(join(tmpdir(), 'orioleslip-lists-'))
  const customers = join(dir, 'customers.toml')
  const plans = join(dir, 'plans.toml')
  await writeFile(customers, `[customers]\n${customer} = "basic"\n`)
  await writeFile(plans, PLANS)
  return { dir, customers, plans }
}
