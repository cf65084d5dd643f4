import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import { createChunkList } from '../memory/chunk-list.js'
import { bodyLength, endAfterBody } from './request-bodies.js'

/** Result of reading a body: `cut` if the sender has left before its end. */
type WholeBody = { kind: 'whole', bytes: Buffer } | { kind: 'tooLarge' } | { kind: 'cut' }

/** Limit on the bodies of an application. */
export type BodyLimit = {
  /** Largest body, in bytes. */
  maxBytes: number
  /** Body of the response with status 413 to a larger one. */
  tooLarge: { type: string, text: string }
}

/**
 * Wraps the listener of an application of Hono, which gets each body whole, in the property `rawBody` that its adapter for Node.js reads.
 * That adapter would keep each chunk of a body by itself, and without a limit.
 */
export function withWholeBodies (listener: RequestListener, limit: BodyLimit): RequestListener {
  return (req, res) => {
    if (bodyLength(req) === 0) return listener(req, res)
    readBody(req, limit.maxBytes).then((body) => {
      switch (body.kind) {
        case 'whole':
          Object.assign(req, { rawBody: body.bytes })
          listener(req, res)
          return
        case 'tooLarge': return refuseTooLarge(req, res, limit)
        case 'cut': res.destroy()
      }
    }, () => res.destroy())
  }
}

function readBody (req: IncomingMessage, maxBytes: number): Promise<WholeBody> {
  if ((bodyLength(req) ?? 0) > maxBytes) return Promise.resolve({ kind: 'tooLarge' })
  return new Promise((resolve) => {
    const chunks = createChunkList()
    const end = () => {
      const { buffer, byteOffset, byteLength } = chunks.takeAll()
      resolve(req.readableEnded ? { kind: 'whole', bytes: Buffer.from(buffer, byteOffset, byteLength) } : { kind: 'cut' })
    }
    const add = (chunk: Buffer) => {
      chunks.push(chunk)
      if (chunks.size() <= maxBytes) return
      req.off('data', add)
      req.pause()
      resolve({ kind: 'tooLarge' })
    }
    req.on('data', add)
    req.once('end', end)
    req.once('close', end)
  })
}

function refuseTooLarge (req: IncomingMessage, res: ServerResponse, { tooLarge: { type, text } }: BodyLimit): void {
  res.writeHead(413, { 'content-type': type, 'content-length': Buffer.byteLength(text), connection: 'close' })
  res.write(text)
  endAfterBody(req, res)
}
