import { threadId } from 'node:worker_threads'

/** Loopback addresses of one thread of a test process. */
const HOSTS_PER_THREAD = 4
/** Values that the last three bytes of the address can take; the second byte stays below that of the broadcast address. */
const THREADS = 200
const PROCESSES = 256 * 256 / HOSTS_PER_THREAD

/**
 * Returns a loopback address for the listeners of a test. Test files run in threads, and several test runs may share the machine: each
 * thread has addresses of its own, so that nothing else takes a port there before its listener opens it.
 */
export function loopbackHost (index = 0): string {
  if (index < 0 || index >= HOSTS_PER_THREAD) throw new Error(`index ${index} is not below ${HOSTS_PER_THREAD}`)
  const host = (process.pid % PROCESSES) * HOSTS_PER_THREAD + index
  return `127.${1 + threadId % THREADS}.${host >> 8}.${host & 255}`
}
