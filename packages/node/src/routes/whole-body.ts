import type { IncomingMessage } from 'node:http'
import { createReader } from '../calls/entry-request.js'
import type { RequestBody } from '../calls/request-body.js'

/** Reads a body into memory, so that the call can be sent again; what exceeds the limit is passed on as a stream. */
export async function takeWholeBody (req: IncomingMessage, lengthBytes: number | undefined, limitBytes: number): Promise<RequestBody> {
  if (lengthBytes === 0) return { kind: 'none' }
  const read = createReader(req)
  const chunks: Uint8Array[] = []
  let bytes = 0
  while (bytes <= limitBytes) {
    const chunk = await read()
    if (chunk === undefined) return { kind: 'buffered', bytes: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks) }
    chunks.push(chunk)
    bytes += chunk.length
  }
  const readRest = async () => chunks.shift() ?? await read()
  return { kind: 'stream', read: readRest, ...(lengthBytes === undefined ? {} : { lengthBytes }) }
}
