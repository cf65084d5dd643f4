export * from './keys/commands.js'
export * from './keys/key-machine.js'
export * from './keys/key-register.js'
