/** Rate limit that a target names in the headers of a response. */
export type RateLimitNotice =
  | { kind: 'none' }
  | { kind: 'named', perSecond: number }
  /** The header is present, but it names no decimal number of calls per second. */
  | { kind: 'malformed', text: string }

/** What a target says of itself in the headers of a response. */
export type TargetNotices = { rateLimit: RateLimitNotice, leaving: boolean }

/** Names, in lower case, of the headers in which targets say something of themselves. */
export type NoticeHeaderNames = {
  /** Calls per second that the target accepts from all VMs together. */
  rateLimit: string
  /** Set to `LEAVING` in the responses of a target that is leaving. */
  leaving: string
}

const LEAVING = '1'
const DECIMAL = /^\d+(?:\.\d+)?$/

const NO_NOTICES: TargetNotices = { rateLimit: { kind: 'none' }, leaving: false }

/** Creates the function that reads a target's notices from the flat list of its response headers, whose names are in lower case. */
export function createNoticeReader (names: NoticeHeaderNames) {
  return (headers: readonly string[]): TargetNotices => {
    let rates: string[] | undefined
    let leaving = false
    for (let i = 0; i + 1 < headers.length; i += 2) {
      if (headers[i] === names.rateLimit) (rates ??= []).push(headers[i + 1]!.trim())
      else if (headers[i] === names.leaving) leaving ||= headers[i + 1]!.trim() === LEAVING
    }
    if (rates === undefined && !leaving) return NO_NOTICES
    return { rateLimit: rates === undefined ? { kind: 'none' } : parseRateLimit(rates), leaving }
  }
}

/** Parses the values of the header; of several the lowest counts, and one malformed value makes the notice malformed. */
function parseRateLimit (values: readonly string[]): RateLimitNotice {
  const perSecond = Math.min(...values.map((text) => DECIMAL.test(text) ? Number(text) : NaN))
  return Number.isFinite(perSecond) ? { kind: 'named', perSecond } : { kind: 'malformed', text: values.join(', ') }
}
