import type { TryResult } from './send-once.js'

/** What a client makes of a try: the request is done, may be sent again through another node, or is lost. */
export type Verdict = 'done' | 'resend' | 'lost'

/** Resends only what surely did not run: a refused connection, or a refusal that says `not-run`. */
export function judge ({ told, errorCode }: TryResult): Verdict {
  switch (told.kind) {
    case 'complete': return told.whole && told.status === 200 ? 'done' : 'lost'
    case 'refused': return told.outcome === 'not-run' ? 'resend' : 'lost'
    // A reset may come after the request was read, so it does not show that nothing ran.
    case 'broken': return errorCode === 'ECONNREFUSED' ? 'resend' : 'lost'
  }
}
