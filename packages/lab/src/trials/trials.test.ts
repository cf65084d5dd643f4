import test from 'ava'
import { runChainTrial } from './chain-trial.js'
import { runLimitTrial } from './limit-trial.js'

const ONE_OPERATION = [{ workMs: 20, share: 1 }]
const SPEC = { name: '', slots: 22, connections: 200, ops: ONE_OPERATION, slowness: 1, seed: 1 }

// Guards against a limit that trusts a wrong announcement.
test.serial('slots are found when twice or half as many are announced', async (t) => {
  const [double, half] = await Promise.all([runLimitTrial({ ...SPEC, announced: 44 }), runLimitTrial({ ...SPEC, announced: 12 })])
  t.true(double.limits.at(-1)! < 28, `limit ${double.limits.at(-1)}`)
  t.true(double.use[1] > 0.92 && half.use[1] > 0.92, `${double.use[1]} and ${half.use[1]}`)
})

// Guards against a limit that shrinks because the target itself, or what it calls, has become slower.
test.serial('a target that becomes 10x slower keeps its slots in use', async (t) => {
  const { limits, use } = await runLimitTrial({ ...SPEC, announced: 22, slowness: 10 })
  t.true(use[1] > 0.9, `${use[1]}`)
  t.true(limits.at(-1)! >= 18 && limits.at(-1)! < 30, `limit ${limits.at(-1)}`)
})

// Guards against a limit that can't tell a queue from a slower mix of operations.
test.serial('operations between 2 ms and 400 ms are no obstacle to learning', async (t) => {
  const ops = [{ workMs: 2, share: 0.6 }, { workMs: 20, share: 0.3 }, { workMs: 400, share: 0.1 }]
  const { limits, use } = await runLimitTrial({ ...SPEC, announced: 44, ops })
  t.true(use[1] > 0.9, `${use[1]}`)
  t.true(limits.at(-1)! < 30, `limit ${limits.at(-1)}`)
})

// Guards against a target that is kept shedding, and against a limit that each shed answer cuts again.
test.serial('a target that sheds at its slots sheds rarely and stays in use', async (t) => {
  const { shed, use } = await runLimitTrial({ ...SPEC, announced: 44, connections: 22 })
  t.true(use[1] > 0.85, `${use[1]}`)
  t.true(shed < 60, `${shed}`)
})

// Guards against collapse and against the wrong order of shedding.
test.serial('at 5x demand claims come first and recovery takes less than 3 s', async (t) => {
  const spec = { name: '', demand: 5, slowness: 1, resends: 3, seed: 1 }
  const [on, off] = await Promise.all([runChainTrial({ ...spec, control: true }), runChainTrial({ ...spec, control: false })])
  t.true(on.goodput.claim > 0.85 * on.offered.claim, `claims ${on.goodput.claim}`)
  t.true(on.goodput.claim > 2 * off.goodput.claim)
  t.true(on.goodput.claim / on.offered.claim > on.goodput.upload / on.offered.upload)
  t.true(on.recoveryMs !== undefined && on.recoveryMs < 3000, `${on.recoveryMs}`)
})

// Guards against a slow deep service that takes down operations which don't use it.
test.serial('with a deep service 10x slower, lookups go on and the service works at its peak', async (t) => {
  const spec = { name: '', demand: 1, slowness: 10, resends: 3, seed: 1 }
  const { goodput, offered, recoveryMs } = await runChainTrial({ ...spec, control: true })
  t.true(goodput.lookup > 0.8 * offered.lookup, `lookups ${goodput.lookup}`)
  t.true(goodput.claim + goodput.upload + goodput.browse > 0.8 * 50, `claims ${goodput.claim}`)
  t.true(recoveryMs !== undefined && recoveryMs < 3000, `${recoveryMs}`)
})
