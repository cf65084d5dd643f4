import { Packr } from 'msgpackr'
import { z } from 'zod'

/** msgpackr bytes in base64: carries binary data and opaque messages through JSON bodies. */
export const packedSchema = z.string().regex(/^[A-Za-z0-9+/]*={0,2}$/, 'not base64')

const packr = new Packr({ useRecords: false, moreTypes: false })

/** Encodes a plain value, `Uint8Array`s included. */
export function pack (value: unknown): string {
  return packr.pack(value).toString('base64')
}

/** Decodes what `pack` encoded; throws on malformed bytes. */
export function unpack (packed: string): unknown {
  return packr.unpack(Buffer.from(packed, 'base64'))
}
