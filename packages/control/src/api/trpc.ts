import type { Caller } from '@orioleslip/core'
import { initTRPC, TRPCError, type AnyTRPCRouter } from '@trpc/server'
import type { RefusedChange } from './refused-change-log.js'

/** Context of a call: its authenticated caller, and the recorder of changes that are refused. */
export type ApiContext = { caller: Caller, recordRefusedChange: (change: RefusedChange) => void }

const t = initTRPC.context<ApiContext>().create({ isDev: false })

export const router = t.router

/** A router of the control API, whatever its procedures. */
export type ApiRouter = AnyTRPCRouter

function denialError (caller: Caller, requiredKey: string): TRPCError {
  return caller.kind === 'unauthenticated'
    ? new TRPCError({ code: 'UNAUTHORIZED', message: caller.reason })
    : new TRPCError({ code: 'FORBIDDEN', message: `this operation needs ${requiredKey}` })
}

/** Base of the procedures for processes of the fleet. */
export const fleetProcedure = t.procedure.use(({ ctx, next }) => {
  if (ctx.caller.kind !== 'fleet') throw denialError(ctx.caller, 'the fleet key')
  return next({ ctx: { caller: ctx.caller } })
})

/** Base of the read-only procedures for operators. */
export const operatorProcedure = t.procedure.use(({ ctx, next }) => {
  if (ctx.caller.kind !== 'operator') throw denialError(ctx.caller, 'an operator key')
  return next({ ctx: { caller: ctx.caller } })
})

/** Base of the procedures for operators that change something: attempts without an operator's key are audited. */
export function changeProcedure (action: RefusedChange['action']) {
  return t.procedure.use(async ({ ctx, next, getRawInput }) => {
    const { caller } = ctx
    if (caller.kind === 'operator') return next({ ctx: { caller } })
    const input = await getRawInput()
    const editId = typeof input === 'object' && input !== null && 'editId' in input ? String(input.editId).slice(0, 64) : undefined
    ctx.recordRefusedChange({
      operator: caller.kind === 'fleet' ? 'fleet' : caller.claimed,
      action,
      ...(editId === undefined ? {} : { editId }),
      unauthenticated: caller.kind === 'unauthenticated',
      reason: caller.kind === 'fleet' ? 'the fleet key does not allow changes' : caller.reason
    })
    throw denialError(caller, 'an operator key')
  })
}
