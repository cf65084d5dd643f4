import { createCanceller } from '../time/cancel.js'

/** Handles the requests of an application, as Hono and its adapter for Node.js call it. */
export type FetchHandler<Args extends unknown[]> = (...args: Args) => Response | Promise<Response>

/** An application that can answer its open requests before they have ended. */
export type EndableApp<Args extends unknown[]> = {
  fetch: FetchHandler<Args>
  /** Answers the open requests, and all later ones, with a refusal that says nothing about their outcome. */
  refuseOpen: () => void
}

/** Wraps an application, so that a stop can answer the requests that it would otherwise cut; `message` says what to do with them. */
export function createEndableApp<Args extends unknown[]> (handler: FetchHandler<Args>, message: string): EndableApp<Args> {
  const { signal: refusing, abort: refuseOpen } = createCanceller()
  const refusal = () => Response.json({ Error: message }, { status: 503, headers: { connection: 'close' } })
  const fetch = async (...args: Args): Promise<Response> => {
    if (refusing.aborted) return refusal()
    let refuse = () => {}
    const refused = new Promise<Response>((resolve) => { refuse = () => resolve(refusal()) })
    refusing.addEventListener('abort', refuse)
    try {
      return await Promise.race([handler(...args), refused])
    } finally {
      refusing.removeEventListener('abort', refuse)
    }
  }
  return { fetch, refuseOpen }
}
