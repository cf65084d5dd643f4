// Startup code shared by all binaries; importing it does not load the modules of the daemon's roles.
export { EXIT } from './exit-codes.js'
export { startMetrics } from './metrics.js'
export { prepareProcess } from './prepare-process.js'
export type { RunningRole } from './roles.js'
