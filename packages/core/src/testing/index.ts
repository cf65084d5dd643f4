export * from './held-bytes.js'
export * from './loopback-host.js'
export * from './socket-closed.js'
