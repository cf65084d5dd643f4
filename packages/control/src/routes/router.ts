import { z } from 'zod'
import { MAX_HOLD_MS, type NodeService } from '../api/node-service.js'
import { fleetProcedure, router } from '../api/trpc.js'
import type { RoutesChange } from './state-machine.js'

export type RoutesRouterServices = {
  node: NodeService<RoutesChange>
  /** Passes a replication message to the log and returns its reply. Messages are opaque here. */
  replicaMessage: (message: unknown) => Promise<unknown>
}

/** Creates the API procedures of a control VM that keeps routes. */
export function createRoutesRouter ({ node, replicaMessage }: RoutesRouterServices) {
  return router({
    since: fleetProcedure.input(z.strictObject({
      vmId: z.string().min(1).max(64),
      revision: z.number().int().min(-1),
      waitMs: z.number().int().min(0).max(MAX_HOLD_MS)
    })).query(({ input, signal }) => node.since(input, signal)),
    message: fleetProcedure.input(z.unknown()).mutation(({ input }) => replicaMessage(input))
  })
}

export type RoutesRouter = ReturnType<typeof createRoutesRouter>
