export * from './members/index.js'
export * from './quotas/index.js'
