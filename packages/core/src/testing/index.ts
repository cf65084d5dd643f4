export * from './loopback-host.js'
export * from './socket-closed.js'
