// What every process of the project shares, without the modules of the daemon's own roles.
export { EXIT } from './exit-codes.js'
export { startMetrics } from './metrics.js'
export { prepareProcess } from './prepare-process.js'
export type { RunningRole } from './roles.js'
