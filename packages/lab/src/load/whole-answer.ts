import type { Chain } from './operations.js'

type Answer = { service?: unknown, requestId?: unknown, path?: unknown, downstream?: unknown }

/** What a client sees in an answer with status 200. `foreign` means that it belongs to another request. */
export type AnswerCheck = 'whole' | 'incomplete' | 'foreign'

/** Checks that an answer went through the whole chain and belongs to the request for `path`. */
export function checkAnswer (text: string, chain: Chain, path: string): AnswerCheck {
  const answer = parseAnswer(text)
  if (answer === undefined || !hasChain(answer, chain)) return 'incomplete'
  return answer.path === path && sameRequest(answer, answer.requestId) ? 'whole' : 'foreign'
}

function parseAnswer (text: string): Answer | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return isObject(value) ? value : undefined
  } catch {
    return undefined
  }
}

function isObject (value: unknown): value is object {
  return typeof value === 'object' && value !== null
}

function parts (answer: Answer): Answer[] {
  return Array.isArray(answer.downstream) ? answer.downstream.filter(isObject) : []
}

function hasChain (answer: Answer, chain: Chain): boolean {
  const downstream = parts(answer)
  return answer.service === chain.service && downstream.length === chain.downstream.length &&
    chain.downstream.every((expected, i) => hasChain(downstream[i]!, expected))
}

function sameRequest (answer: Answer, requestId: unknown): boolean {
  return typeof requestId === 'string' && answer.requestId === requestId && parts(answer).every((part) => sameRequest(part, requestId))
}
