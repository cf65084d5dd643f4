export { EXIT } from './exit-codes.js'
export { runCli, type Io } from './program.js'
