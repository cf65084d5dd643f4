// Measures memory per key and the times of claims and snapshots: node --expose-gc packages/control/dist/keys/measure.js [keys...]
import { randomBytes } from 'node:crypto'
import { parseArgs } from 'node:util'
import type { KeyCommand } from './commands.js'
import { createKeyStateMachine } from './state-machine.js'

// Finished runs with a response of 16,000 bytes each: enough to fill the ring of 64 MiB.
const FINISHED_RUNS = 4500
const START_MS = 1_760_000_000_000

function memoryBytes (): number {
  globalThis.gc?.()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

function timeMs<T> (run: () => T): [T, number] {
  const startMs = performance.now()
  const value = run()
  return [value, Math.round(performance.now() - startMs)]
}

function uuid7 (ms: number): string {
  const hex = Math.floor(ms).toString(16).padStart(12, '0')
  const rest = randomBytes(9).toString('hex')
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7${rest.slice(0, 3)}-8${rest.slice(3, 6)}-${rest.slice(6)}`
}

function claimOf (i: number, keys: number): KeyCommand {
  const wallMs = START_MS + i
  return {
    type: 'claim',
    customer: `customer-${i % 500}`,
    key: uuid7(wallMs),
    token: uuid7(wallMs),
    opKey: 'POST claims /claims',
    requestHash: randomBytes(32).toString('hex'),
    executorVm: `vm-${i % 770}`,
    claimId: randomBytes(8).toString('hex'),
    timeoutMs: 10_000,
    wallMs,
    retentionMs: 86_400_000,
    keyLimit: keys
  }
}

function measure (keys: number) {
  const claims = Array.from({ length: Math.min(keys, FINISHED_RUNS) }, (_, i) => claimOf(i, keys))
  const beforeBytes = memoryBytes()
  const machine = createKeyStateMachine()
  // Longest time of a single command, which may include growth of the index.
  let longestMs = 0
  let applyMs = 0
  for (let i = 0; i < keys; i++) {
    const cmd = claims[i] ?? claimOf(i, keys)
    const startMs = performance.now()
    machine.apply(i, cmd)
    const tookMs = performance.now() - startMs
    applyMs += tookMs
    if (tookMs > longestMs) longestMs = tookMs
  }
  const bytesPerKey = Math.round((memoryBytes() - beforeBytes) / keys)
  const body = randomBytes(16_000).toString('base64')
  for (let i = 0; i < claims.length; i++) {
    const { customer, key, token, wallMs, retentionMs, keyLimit } = claims[i]!
    const run = { status: 201, bodySha256: '0'.repeat(64), answer: { headers: ['content-type', 'application/json'], body } }
    machine.apply(i, { type: 'finish', customer, key, token, wallMs, retentionMs, keyLimit, run })
  }
  const [state, snapshotMs] = timeMs(() => machine.snapshot())
  const [json, stringifyMs] = timeMs(() => JSON.stringify(state))
  const [parsed, parseMs] = timeMs(() => JSON.parse(json) as typeof state)
  const [, restoreMs] = timeMs(() => createKeyStateMachine().restore(parsed))
  return {
    keys,
    bytesPerKey,
    claimUs: Math.round(applyMs * 1000 / keys * 10) / 10,
    longestClaimMs: Math.round(longestMs),
    snapshotMs,
    stringifyMs,
    parseMs,
    restoreMs,
    snapshotMb: Math.round(json.length / 1e5) / 10
  }
}

const { positionals } = parseArgs({ allowPositionals: true })
for (const text of positionals.length > 0 ? positionals : ['10000']) console.log(JSON.stringify(measure(Number(text))))
