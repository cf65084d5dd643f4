import test from 'ava'
import { runChainTrial } from './chain-trial.js'
import { runLimitTrial } from './limit-trial.js'

const ONE_OPERATION = [{ workMs: 20, share: 1 }]
const SPEC = { name: '', slots: 22, connections: 200, ops: ONE_OPERATION, slowness: 1, seed: 1 }

// Guards against a limit that stays at a wrong announcement of the target, which leaves its slots idle or lets calls queue in the target.
test.serial('the limit adapts to the slots when twice or half as many are announced', async (t) => {
  const [double, half] = await Promise.all([runLimitTrial({ ...SPEC, announced: 44 }), runLimitTrial({ ...SPEC, announced: 12 })])
  t.true(double.limits.at(-1)! < 28, `limit ${double.limits.at(-1)}`)
  t.true(double.utilization[1] > 0.92 && half.utilization[1] > 0.92, `${double.utilization[1]} and ${half.utilization[1]}`)
})

// Guards against a limit that shrinks when the target, or a service that it calls, becomes slower, because the higher latency is taken for
// queueing.
test.serial('a target that becomes 10x slower keeps its slots in use', async (t) => {
  const { limits, utilization } = await runLimitTrial({ ...SPEC, announced: 22, slowness: 10 })
  t.true(utilization[1] > 0.9, `${utilization[1]}`)
  t.true(limits.at(-1)! >= 18 && limits.at(-1)! < 30, `limit ${limits.at(-1)}`)
})

// Guards against a wrong limit when operations differ in duration, because a slower mix of operations is taken for queueing.
test.serial('the limit adapts when operations take between 2 ms and 400 ms', async (t) => {
  const ops = [{ workMs: 2, share: 0.6 }, { workMs: 20, share: 0.3 }, { workMs: 400, share: 0.1 }]
  const { limits, utilization } = await runLimitTrial({ ...SPEC, announced: 44, ops })
  t.true(utilization[1] > 0.9, `${utilization[1]}`)
  t.true(limits.at(-1)! < 30, `limit ${limits.at(-1)}`)
})

// Guards against a limit that stays above the point where the target sheds, and against one that collapses because each shed response
// reduces it again.
test.serial('a target that sheds at its slots sheds rarely and stays in use', async (t) => {
  const { shed, utilization } = await runLimitTrial({ ...SPEC, announced: 44, connections: 22 })
  t.true(utilization[1] > 0.85, `${utilization[1]}`)
  t.true(shed < 60, `${shed}`)
})

// Guards against congestion collapse, where work is spent on requests that miss their deadline or are resent, and against shedding claims
// before less important requests.
test.serial('at 5x demand claims have priority and recovery takes less than 3 s', async (t) => {
  const spec = { name: '', demand: 5, slowness: 1, resends: 3, seed: 1 }
  const [on, off] = await Promise.all([runChainTrial({ ...spec, control: true }), runChainTrial({ ...spec, control: false })])
  t.true(on.goodput.claim > 0.85 * on.offered.claim, `claims ${on.goodput.claim}`)
  t.true(on.goodput.claim > 2 * off.goodput.claim)
  t.true(on.goodput.claim / on.offered.claim > on.goodput.upload / on.offered.upload)
  t.true(on.recoveryMs !== undefined && on.recoveryMs < 3000, `${on.recoveryMs}`)
})

// Guards against operations that fail although they don't use a slow service, because calls that wait for it occupy the slots upstream.
test.serial('with the deepest service 10x slower, lookups succeed and the service works at its capacity', async (t) => {
  const spec = { name: '', demand: 1, slowness: 10, resends: 3, seed: 1 }
  const { goodput, offered, recoveryMs } = await runChainTrial({ ...spec, control: true })
  t.true(goodput.lookup > 0.8 * offered.lookup, `lookups ${goodput.lookup}`)
  t.true(goodput.claim + goodput.upload + goodput.browse > 0.8 * 50, `claims ${goodput.claim}`)
  t.true(recoveryMs !== undefined && recoveryMs < 3000, `${recoveryMs}`)
})
