import { unknownOutcome, type FinishedRun, type Refusal } from '@orioleslip/core'

/** Refusal for a key whose run finished but whose response is not stored. */
export function refusalOfFinished (run: FinishedRun): Refusal {
  return unknownOutcome('answer-dropped', `the first call with this key finished with status ${run.status}; SHA-256 of its body: ${run.bodySha256}`)
}
