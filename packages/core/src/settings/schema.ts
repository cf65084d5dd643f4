import { z } from 'zod'

const port = z.number().int().min(1).max(65535)
const address = z.union([z.ipv4(), z.ipv6()])
const name = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/, 'use 1 to 64 letters, digits, ".", "_" or "-"')
const key = z.string().min(16, 'use at least 16 characters')

/** The VM that this process runs on. */
export const vmSettingsSchema = z.strictObject({ id: name, address, region: name, failureDomain: name })
export type VmSettings = z.infer<typeof vmSettingsSchema>

/** Settings of a node, the process that runs on the VM of a target. */
export const nodeSettingsSchema = z.strictObject({
  /** TCP port for callers and for the target's own calls. */
  callerPort: port,
  /** TCP port for other nodes. */
  peerPort: port,
  /** UDP port for membership. */
  gossipPort: port,
  /** Longest wait for calls in flight during a planned stop, in s. */
  drainTimeoutS: z.number().min(0).max(3600).default(120),
  /** Retries that one root request may cause in its whole call chain. */
  retryAllowance: z.number().int().min(0).max(10).default(2),
  /** Number of requests whose decision records are kept for `orioleslip explain`. */
  decisionRecords: z.number().int().min(0).max(100_000).default(2000),
  /** Time for which a leaving target still accepts new calls while its state is disseminated to the fleet, in ms. */
  leaveSpreadMs: z.number().int().min(0).max(60_000).default(3000),
  /** Time without an announcement of the target after which it is considered gone, in ms. */
  targetSilenceMs: z.number().int().min(500).max(600_000).default(3000),
  /** Limit on retried calls to each service, in sum over the fleet; for fleets that use routes. */
  repeatBudget: z.strictObject({
    /** Retries allowed per first attempt. */
    ratio: z.number().min(0).max(10).default(0.2),
    /** Additional retries allowed to the whole fleet in one window. */
    extra: z.number().min(0).max(1_000_000).default(20),
    windowS: z.number().min(1).max(3600).default(10)
  }).prefault({}),
  /** False disables admission, limits, retry bounds and routing preferences; for comparison runs only. */
  overloadControl: z.boolean().default(true)
})
export type NodeSettings = z.infer<typeof nodeSettingsSchema>

/** Settings of a control process. */
export const controlSettingsSchema = z.strictObject({
  /** TCP port of the control API. */
  apiPort: port,
  gossipPort: port,
  /** Directory of the durable state; it must be on a disk that survives restarts. */
  dataDir: z.string().min(1),
  /** Time for which idempotency keys are kept, in s. */
  keyRetentionS: z.number().int().min(60).max(7 * 86_400).default(86_400),
  /** Maximum number of idempotency keys; new keys are refused beyond it. */
  keyLimit: z.number().int().min(1).max(10_000_000).default(1_000_000)
})
export type ControlSettings = z.infer<typeof controlSettingsSchema>

/** Addresses of a control VM. */
export const controlPeerSchema = z.strictObject({ vmId: name, address, apiPort: port, gossipPort: port, failureDomain: name })
export type ControlPeer = z.infer<typeof controlPeerSchema>

/** Address that a process contacts first to discover the others when its settings don't list the control VMs. */
export const seedSchema = z.strictObject({ address, apiPort: port, gossipPort: port })
export type Seed = z.infer<typeof seedSchema>

/** Settings of a fleet whose control VMs discover each other. */
export const discoverySettingsSchema = z.strictObject({
  /** Addresses of some control VMs; these may be down or replaced later. */
  seeds: z.array(seedSchema).min(1).max(16),
  /** True only when the whole fleet starts for the first time with empty disks; all processes must then have the same seeds. */
  firstStart: z.boolean().default(false),
  /** Number of disks that may be lost at once; the control group has twice this number of voters plus one. */
  lostDisksTolerated: z.number().int().min(0).max(3).default(1)
})
export type DiscoverySettings = z.infer<typeof discoverySettingsSchema>

/** Key of an operator, by which edits are authenticated and audited. */
export const operatorKeySchema = z.strictObject({ name, key })
export type OperatorKey = z.infer<typeof operatorKeySchema>

/** Settings file of `orioleslipd`. */
export const settingsSchema = z.strictObject({
  role: z.enum(['node', 'control']),
  vm: vmSettingsSchema,
  node: nodeSettingsSchema.optional(),
  control: controlSettingsSchema.optional(),
  /** The control VMs, this one included when the role is control; an odd number tolerates as many failures as the next even one. */
  controls: z.array(controlPeerSchema).max(8).default([]),
  /** Replaces `controls` in a fleet that uses routes: the control VMs discover each other. */
  discovery: discoverySettingsSchema.optional(),
  auth: z.strictObject({
    /** Shared by all processes of the fleet. */
    fleetKey: key,
    /** Operators that may send requests to this process, such as edits to control processes and reads of decision records to nodes. */
    operators: z.array(operatorKeySchema).default([])
  }),
  log: z.strictObject({ level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info') }).prefault({}),
  /** StatsD receiver; nothing is sent to StatsD without it. */
  metrics: z.strictObject({ host: address, port, prefix: z.string().default('orioleslip.') }).optional(),
  /** Prometheus endpoint of this process, at the address of its VM; disabled when absent. */
  prometheus: z.strictObject({ port, path: z.string().startsWith('/').default('/metrics') }).optional()
}).superRefine((settings, ctx) => {
  const needed = settings.role
  if (settings[needed] === undefined) ctx.addIssue({ code: 'custom', path: [needed], message: `role is "${needed}"; add a [${needed}] table` })
  const other = needed === 'node' ? 'control' : 'node'
  if (settings[other] !== undefined) ctx.addIssue({ code: 'custom', path: [other], message: `role is "${needed}"; remove the [${other}] table` })
  if (settings.discovery !== undefined) {
    if (settings.controls.length > 0) ctx.addIssue({ code: 'custom', path: ['controls'], message: 'the control VMs find each other; remove the list or the [discovery] table' })
    return
  }
  if (settings.controls.length === 0) ctx.addIssue({ code: 'custom', path: ['controls'], message: 'list at least one control VM, or add a [discovery] table' })
  if (settings.role === 'control' && !settings.controls.some((peer) => peer.vmId === settings.vm.id)) {
    ctx.addIssue({ code: 'custom', path: ['controls'], message: `add this VM ("${settings.vm.id}") to the list` })
  }
  if (new Set(settings.controls.map((peer) => peer.vmId)).size !== settings.controls.length) {
    ctx.addIssue({ code: 'custom', path: ['controls'], message: 'a VM is listed twice; remove one entry' })
  }
  if (settings.node !== undefined && settings.node.callerPort === settings.node.peerPort) {
    ctx.addIssue({ code: 'custom', path: ['node', 'peerPort'], message: 'equals callerPort; choose another port' })
  }
})
export type Settings = z.infer<typeof settingsSchema>
