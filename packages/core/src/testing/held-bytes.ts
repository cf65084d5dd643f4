import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Bytes that this thread holds after garbage collections; the second one waits for what the first one frees in the background. */
export function heldBytes (): number {
  collectGarbage()
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}
