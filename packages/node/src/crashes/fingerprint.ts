import { createHash } from 'node:crypto'
import type { RequestBody } from '../calls/request-body.js'

/** The parts of a request by which it is recognised when it comes again, through whichever node. */
export type RequestIdentity = {
  method: string
  /** Host or customer, and the service that calls. */
  caller: string
  path: string
  body: RequestBody
}

/** Bytes at either end of a body that are part of the fingerprint, so that its cost does not grow with the body. */
const BODY_END_BYTES = 4096
const FIRST_PRIME = 0x01000193
const SECOND_PRIME = 0x85ebca6b

/** Hash of the first and the last bytes of a body, 32 bits. */
function endsHash (bytes: Uint8Array): number {
  const hash = createHash('sha1')
  if (bytes.length <= 2 * BODY_END_BYTES) hash.update(bytes)
  else hash.update(bytes.subarray(0, BODY_END_BYTES)).update(bytes.subarray(-BODY_END_BYTES))
  return hash.digest().readUInt32LE(0)
}

/** Fingerprint of a request, 52 bits. A streamed body counts by its length only. */
export function fingerprintOf ({ method, caller, path, body }: RequestIdentity): number {
  let first = 0x811c9dc5
  let second = 0x9e3779b9
  const add = (value: number) => {
    first = Math.imul(first ^ value, FIRST_PRIME)
    second = Math.imul(second ^ value, SECOND_PRIME)
    second ^= second >>> 15
  }
  const addText = (text: string) => {
    for (let i = 0; i < text.length; i++) add(text.charCodeAt(i))
    add(text.length)
  }
  addText(method)
  addText(caller)
  addText(path)
  if (body.kind === 'buffered') {
    add(endsHash(body.bytes))
    add(body.bytes.length)
  } else if (body.kind === 'stream') add(body.lengthBytes ?? -1)
  first ^= first >>> 16
  return (first & 0xfffff) * 2 ** 32 + (second >>> 0)
}
