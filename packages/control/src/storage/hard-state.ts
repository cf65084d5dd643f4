import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { damaged, type StorageError } from './errors.js'
import { checksum } from './record.js'

/** State that a replica persists in order to vote at most once per term. */
export type HardState = {
  storageId: string
  term: number
  /** Storage id of the candidate that got this replica's vote in `term`. */
  vote: string | null
  /** True after the first write of entries; a folder without log files is then damaged. */
  hasLog: boolean
}

const schema = z.object({
  storageId: z.string(),
  term: z.number().int().min(0),
  vote: z.string().nullable(),
  hasLog: z.boolean(),
  checksum: z.number()
})

const checksumOf = (state: HardState) => checksum(Buffer.from(JSON.stringify([state.storageId, state.term, state.vote, state.hasLog])))

/** Encodes the hard state as JSON with a checksum. */
export function encodeHardState (state: HardState): Buffer {
  return Buffer.from(JSON.stringify({ ...state, checksum: checksumOf(state) }) + '\n')
}

/** Decodes and verifies the hard state. */
export function decodeHardState (file: string, data: Buffer): Result<HardState, StorageError> {
  try {
    const { checksum: expected, ...state } = schema.parse(JSON.parse(data.toString()))
    if (checksumOf(state) === expected) return ok(state)
  } catch {
    // Unreadable content is reported like a wrong checksum.
  }
  return err(damaged(file, 0, 'the hard state has a wrong checksum'))
}
