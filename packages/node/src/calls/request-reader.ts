import type { IncomingMessage } from 'node:http'
import { createChunkBatch } from '@orioleslip/core'
import { createByteQueue } from '../links/byte-queue.js'
import { processReadTurns } from '../net/read-turns.js'

/** Number of body bytes that are read ahead of the reader. */
const READ_AHEAD_BYTES = 64 * 1024
/** Number of chunks of a body in one turn of the event loop after which other bodies of this kind are read first. */
const MAX_CHUNKS_PER_TURN = 1000

/**
 * Returns a function that reads the body of a request piece by piece; it rejects if the caller disconnects before the end of the body.
 * Node.js hands out each chunk for itself, and a body may consist of very small ones, so that those of one turn are joined, and bodies of
 * such chunks are read in turns.
 */
export function createRequestReader (req: IncomingMessage): () => Promise<Uint8Array | undefined> {
  const { socket } = req
  const queue = createByteQueue(() => { if (queue.size() < READ_AHEAD_BYTES / 2) req.resume() })
  let chunks = 0
  const waitForTurn = () => {
    // The connection may have further requests then, or be closing.
    if (req.complete || socket.writableEnded) return
    socket.pause()
    processReadTurns.wait(() => { if (!socket.writableEnded) socket.resume() })
  }
  // Runs once all that was read in a turn has been handed out; before, Node.js resumes the socket with each chunk.
  const batch = createChunkBatch((joined) => {
    if (chunks >= MAX_CHUNKS_PER_TURN) waitForTurn()
    chunks = 0
    queue.push(joined)
  })
  const onData = (chunk: Buffer) => {
    chunks++
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
