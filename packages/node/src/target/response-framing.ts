import { headerValue } from '@orioleslip/core'

/** What ends the body of a response: a length or a last chunk (`framed`), its connection (`unframed`), or something not known here. */
export type Framing = 'framed' | 'unframed' | 'unsupported'

/** Returns the framing of a response from its raw headers. */
export function framingOf (method: string, status: number, raw: readonly string[]): Framing {
  if (method === 'HEAD' || status === 204 || status === 304) return 'framed'
  const codings = transferCodings(raw)
  if (codings.length === 0) return headerValue(raw, 'content-length') === undefined ? 'unframed' : 'framed'
  if (codings.length > 1) return 'unsupported'
  switch (codings[0]) {
    case 'chunked': return 'framed'
    case 'identity': return 'unframed'
    default: return 'unsupported'
  }
}

/** Transfer codings of a message, in lower case; several headers count as one list. */
function transferCodings (raw: readonly string[]): string[] {
  const codings: string[] = []
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (raw[i]!.toLowerCase() === 'transfer-encoding') codings.push(...raw[i + 1]!.split(',').map((coding) => coding.trim().toLowerCase()))
  }
  return codings
}
