export { createQuotas } from './quotas.js'
export type { QuotasOptions } from './quotas.js'
