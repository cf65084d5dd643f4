import { z } from 'zod'
import type { FinishedRun } from './keys.js'

const id = { customer: z.string().min(1).max(64), key: z.string().min(1).max(256) }
const token = z.uuid({ version: 'v7' })

const finishedRunSchema = z.strictObject({
  status: z.number().int().min(100).max(999),
  bodySha256: z.string().regex(/^[0-9a-f]{64}$/),
  answer: z.strictObject({ headers: z.array(z.string()), body: z.base64() }).optional()
})

/** A finished run in JSON: the stored body is in base64. */
export type WireRun = z.infer<typeof finishedRunSchema>

const dispatched = z.object({ kind: z.literal('dispatched'), executorVm: z.string() })
const finished = z.object({ kind: z.literal('finished'), run: finishedRunSchema })
const ofKind = <Kind extends string>(kind: Kind) => z.object({ kind: z.literal(kind) })

/** Inputs of the register's procedures in JSON. */
export const keyInputs = {
  claim: z.strictObject({
    ...id,
    token,
    opKey: z.string().max(4096),
    requestHash: z.string().regex(/^[0-9a-f]{64}$/),
    executorVm: z.string().min(1).max(64),
    claimId: z.string().regex(/^[0-9a-f]{16}$/),
    timeoutMs: z.number().min(0).max(3_600_000)
  }),
  finish: z.strictObject({ ...id, token, run: finishedRunSchema }),
  release: z.strictObject({ ...id, token }),
  cancel: z.strictObject({ ...id, token })
}

/** Replies of the register's procedures in JSON. */
export const keyReplies = {
  claim: z.discriminatedUnion('kind', [ofKind('granted'), ofKind('mismatch'), dispatched.extend({ remainingMs: z.number() }), finished,
    ofKind('cancelled'), ofKind('expired'), ofKind('full')]),
  cancel: z.discriminatedUnion('kind', [ofKind('cancelled'), dispatched, finished])
}
export type WireClaimResult = z.infer<typeof keyReplies.claim>
export type WireCancelResult = z.infer<typeof keyReplies.cancel>

/** Converts a finished run for JSON. */
export function runToWire (run: FinishedRun): WireRun {
  const { status, bodySha256, answer } = run
  if (answer === undefined) return { status, bodySha256 }
  const body = Buffer.from(answer.body.buffer, answer.body.byteOffset, answer.body.byteLength)
  return { status, bodySha256, answer: { headers: answer.headers, body: body.toString('base64') } }
}

/** Converts a finished run from JSON. */
export function runFromWire (run: WireRun): FinishedRun {
  const { status, bodySha256, answer } = run
  if (answer === undefined) return { status, bodySha256 }
  return { status, bodySha256, answer: { status, headers: answer.headers, body: Buffer.from(answer.body, 'base64') } }
}

/** Converts the stored run of a reply from JSON; other replies pass unchanged. */
export function replyFromWire<Other extends { kind: string }> (reply: Other | { kind: 'finished', run: WireRun }):
  Exclude<Other, { kind: 'finished' }> | { kind: 'finished', run: FinishedRun } {
  if (reply.kind === 'finished') return { kind: 'finished', run: runFromWire((reply as { run: WireRun }).run) }
  return reply as Exclude<Other, { kind: 'finished' }>
}
