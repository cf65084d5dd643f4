export { EXIT } from './exit-codes.js'
export { loadSettings } from './load-settings.js'
export { runDaemon } from './run.js'
