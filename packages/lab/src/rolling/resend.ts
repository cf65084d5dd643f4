import type { TryResult } from './send-once.js'

/** What follows from a try: the request is done, may be resent through another node, or is lost. */
export type Verdict = 'done' | 'resend' | 'lost'

/** Allows a resend only if the request certainly did not run: after a refused connection or a refusal with outcome `not-run`. */
export function classifyTry ({ told, errorCode }: TryResult): Verdict {
  switch (told.kind) {
    case 'complete': return told.whole && told.status === 200 ? 'done' : 'lost'
    case 'refused': return told.outcome === 'not-run' ? 'resend' : 'lost'
    // A connection may be reset after the request was read, so a reset does not prove that the request did not run.
    case 'broken': return errorCode === 'ECONNREFUSED' ? 'resend' : 'lost'
  }
}
