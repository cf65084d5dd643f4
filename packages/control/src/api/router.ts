import { z } from 'zod'
import type { AuditAnchor, AuditEntry } from '../audit/chain.js'
import type { AuditReport } from '../audit/trail.js'
import { editInputSchema } from './edit-schema.js'
import type { KeyCalls } from './key-calls.js'
import { MAX_HOLD_MS, type NodeService } from './node-service.js'
import type { OperatorService } from './operator-service.js'
import type { StatusReply, VmReport } from './status-service.js'
import { changeProcedure, fleetProcedure, operatorProcedure, router } from './trpc.js'

/** Result of creating the first configuration of the log groups. */
export type InitReply = { kind: 'initialized' | 'exists' } | { kind: 'refused', message: string }

export type ControlServices = {
  operator: OperatorService
  status: () => Promise<StatusReply>
  clusterInit: (operator: string) => Promise<InitReply>
  auditPage: (afterSeq: number, limit: number) => Promise<AuditEntry[]>
  /** Position of the last entry of the audit trail. */
  auditHead: () => AuditAnchor
  auditVerify: () => Promise<AuditReport>
  node: NodeService
  /** Passes a replication message to the log of its group and returns the reply. Messages are opaque here. */
  replicaMessage: (group: string, message: unknown) => Promise<unknown>
  vmReport: () => VmReport
  keys: KeyCalls
}

const auditPageSchema = z.strictObject({ afterSeq: z.number().int().min(0), limit: z.number().int().min(1).max(500) })
const historySchema = z.strictObject({ limit: z.number().int().min(1).max(1000) })
const group = z.string().regex(/^[a-z]{1,32}$/)

/** Creates the procedures of the control API. */
export function createControlRouter (services: ControlServices) {
  const { operator, status, clusterInit, auditPage, auditHead, auditVerify, node, replicaMessage, vmReport, keys } = services
  return router({
    edit: changeProcedure('edit').input(editInputSchema).mutation(({ ctx, input }) => operator.edit(ctx.caller.name, input)),
    clusterInit: changeProcedure('clusterInit').mutation(({ ctx }) => clusterInit(ctx.caller.name)),
    get: operatorProcedure.query(() => operator.get()),
    history: operatorProcedure.input(historySchema).query(({ input }) => operator.history(input.limit)),
    audit: operatorProcedure.input(auditPageSchema).query(({ input }) => auditPage(input.afterSeq, input.limit)),
    auditHead: operatorProcedure.query(() => auditHead()),
    auditVerify: operatorProcedure.query(() => auditVerify()),
    status: operatorProcedure.query(() => status()),
    lists: router({
      since: fleetProcedure.input(z.strictObject({
        vmId: z.string().min(1).max(64),
        revision: z.number().int().min(-1),
        waitMs: z.number().int().min(0).max(MAX_HOLD_MS),
        callerAddress: z.string().max(64).optional()
      })).query(({ input, signal }) => node.since(input, signal))
    }),
    // The key register validates the input of its procedures.
    keys: router({
      claim: fleetProcedure.input(z.unknown()).mutation(({ input }) => keys('claim', input)),
      finish: fleetProcedure.input(z.unknown()).mutation(({ input }) => keys('finish', input)),
      release: fleetProcedure.input(z.unknown()).mutation(({ input }) => keys('release', input)),
      cancel: fleetProcedure.input(z.unknown()).mutation(({ input }) => keys('cancel', input))
    }),
    replica: router({
      message: fleetProcedure.input(z.strictObject({ group, message: z.unknown() }))
        .mutation(({ input }) => replicaMessage(input.group, input.message)),
      report: fleetProcedure.query(() => vmReport()),
      auditPage: fleetProcedure.input(auditPageSchema).query(({ input }) => auditPage(input.afterSeq, input.limit))
    })
  })
}

export type ControlRouter = ReturnType<typeof createControlRouter>
