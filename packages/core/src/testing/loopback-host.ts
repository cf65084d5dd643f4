import { threadId } from 'node:worker_threads'

/** Addresses of one thread, which share the last byte with those of other processes. */
const HOSTS_PER_THREAD = 4
/** Threads of one process that have addresses of their own; they differ in the second byte. */
const THREADS = 200
/** Processes that have addresses of their own; they differ in the last two bytes. */
const PROCESSES = 256 * 256 / HOSTS_PER_THREAD

/**
 * Returns a loopback address for the listeners of a test, one for each index. Test files run in threads, and several test runs may share
 * the machine: each thread has addresses of its own, so that nothing else takes a port there before its listener opens it.
 */
export function loopbackHost (index = 0): string {
  if (index < 0 || index >= HOSTS_PER_THREAD) throw new Error(`index ${index} is not below ${HOSTS_PER_THREAD}`)
  const host = (process.pid % PROCESSES) * HOSTS_PER_THREAD + index
  return `127.${1 + threadId % THREADS}.${host >> 8}.${host & 255}`
}
