import { createChunkList } from '@orioleslip/core'
import type { IncomingCall } from '../links/incoming-call.js'
import type { ResponseHead } from '../links/messages.js'

/** A response whose head and first bytes are held, so that it can still be refused. */
export type HeldResponse = {
  /** Holds a chunk, or forwards it if the response has been released; a chunk beyond the limit releases the response. */
  write: (chunk: Uint8Array) => Promise<void> | undefined
  /** Forwards what is held; later chunks are forwarded as they come. */
  release: () => void
}

/** Creates a response that holds at most `limitBytes`, which are less than the window of a call. */
export function createHeldResponse (call: IncomingCall, head: ResponseHead, limitBytes: number): HeldResponse {
  const chunks = createChunkList()
  let isReleased = false
  const release = () => {
    if (isReleased) return
    isReleased = true
    call.respond(head)
    if (!chunks.isEmpty()) call.write(chunks.takeAll())
  }
  return {
    write: (chunk) => {
      if (isReleased) return call.write(chunk)
      chunks.push(chunk)
      if (chunks.size() > limitBytes) release()
      return undefined
    },
    release
  }
}
