export * from './members/index.js'
