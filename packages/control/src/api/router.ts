import { z } from 'zod'
import type { AuditEntry } from '../audit/chain.js'
import type { AuditReport } from '../audit/trail.js'
import { editInputSchema } from './edit-schema.js'
import { MAX_HOLD_MS, type NodeService } from './node-service.js'
import type { OperatorService } from './operator-service.js'
import { packedSchema } from './packed.js'
import type { ReplicaService } from './replica-service.js'
import type { StatusAnswer, VmReport } from './status-service.js'
import { changeProcedure, fleetProcedure, operatorProcedure, router } from './trpc.js'

/** Result of creating the first configuration of the log groups. */
export type InitAnswer = { kind: 'initialized' } | { kind: 'refused', message: string }

export type ControlServices = {
  operator: OperatorService
  status: () => Promise<StatusAnswer>
  clusterInit: (operator: string) => Promise<InitAnswer>
  auditPage: (afterSeq: number, limit: number) => Promise<AuditEntry[]>
  auditVerify: () => Promise<AuditReport>
  node: NodeService
  replica: ReplicaService
  vmReport: () => VmReport
  /** Runs a key register operation on packed input and gives the packed result. */
  keyCall: (procedure: string, packed: string) => Promise<string>
}

const auditPageSchema = z.strictObject({ afterSeq: z.number().int().min(0), limit: z.number().int().min(1).max(500) })
const group = z.string().regex(/^[a-z]{1,32}$/)

/** Creates the routes of the control API. */
export function createControlRouter (services: ControlServices) {
  const { operator, status, clusterInit, auditPage, auditVerify, node, replica, vmReport, keyCall } = services
  return router({
    edit: changeProcedure('edit').input(editInputSchema).mutation(({ ctx, input }) => operator.edit(ctx.caller.name, input)),
    clusterInit: changeProcedure('clusterInit').mutation(({ ctx }) => clusterInit(ctx.caller.name)),
    get: operatorProcedure.query(() => operator.get()),
    history: operatorProcedure.input(z.strictObject({ limit: z.number().int().min(1).max(1000) })).query(({ input }) => operator.history(input.limit)),
    audit: operatorProcedure.input(auditPageSchema).query(({ input }) => auditPage(input.afterSeq, input.limit)),
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
    keys: fleetProcedure.input(z.strictObject({ procedure: z.string().max(32), packed: packedSchema }))
      .mutation(({ input }) => keyCall(input.procedure, input.packed)),
    replica: router({
      message: fleetProcedure.input(z.strictObject({ group, packed: packedSchema })).mutation(({ input }) => replica.message(input.group, input.packed)),
      forward: fleetProcedure.input(z.strictObject({ group, packed: packedSchema })).mutation(({ input }) => replica.forward(input.group, input.packed)),
      report: fleetProcedure.query(() => vmReport()),
      auditPage: fleetProcedure.input(auditPageSchema).query(({ input }) => auditPage(input.afterSeq, input.limit))
    })
  })
}

export type ControlRouter = ReturnType<typeof createControlRouter>
