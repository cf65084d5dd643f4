import type { IncomingMessage } from 'node:http'
import { createChunkBatch } from '@orioleslip/core'
import { createByteQueue } from '../links/byte-queue.js'

/** Number of body bytes that are read ahead of the reader. */
const READ_AHEAD_BYTES = 64 * 1024

/**
 * Returns a function that reads the body of a request piece by piece; it rejects if the caller disconnects before the end of the body.
 * Node.js hands out each chunk for itself, and a body may consist of very small ones, so that those of one turn are joined.
 */
export function createRequestReader (req: IncomingMessage): () => Promise<Uint8Array | undefined> {
  const queue = createByteQueue(() => { if (queue.size() < READ_AHEAD_BYTES / 2) req.resume() })
  const batch = createChunkBatch(queue.push)
  const onData = (chunk: Buffer) => {
    batch.add(chunk)
    if (queue.size() + batch.size() >= READ_AHEAD_BYTES) req.pause()
  }
  const end = () => {
    batch.flush()
    // A request that is destroyed may have arrived whole and not been read, and the rest of a refused one is discarded.
    if (req.readableEnded && req.listeners('data').includes(onData)) queue.end()
    else queue.fail(new Error('the caller closed the connection in the middle of the body'))
  }
  if (req.destroyed) {
    end()
    return queue.read
  }
  req.on('data', onData)
  req.once('end', end)
  req.once('close', end)
  return queue.read
}
