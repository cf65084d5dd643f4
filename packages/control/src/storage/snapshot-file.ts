import { err, ok, type Result } from 'neverthrow'
import type { Snapshot } from './entry.js'
import { damaged, type StorageError } from './errors.js'
import { checksumLarge, pack, unpack } from './record.js'

const MAGIC = Buffer.from('OLSNAP1\n')
const HEADER_BYTES = MAGIC.length + 4

/** Encodes a snapshot with its checksum, as stored in the file and sent to peers. The state is serialized synchronously by the call. */
export async function encodeSnapshot (snapshot: Snapshot): Promise<Buffer> {
  const payload = pack(snapshot)
  const header = Buffer.alloc(HEADER_BYTES)
  MAGIC.copy(header)
  header.writeUInt32BE(await checksumLarge(payload), MAGIC.length)
  return Buffer.concat([header, payload])
}

/** Verifies an encoded snapshot and returns its payload. */
export async function verifySnapshot (file: string, data: Buffer): Promise<Result<Buffer, StorageError>> {
  if (data.length <= HEADER_BYTES || !data.subarray(0, MAGIC.length).equals(MAGIC)) return err(damaged(file, 0, 'not a snapshot'))
  const payload = data.subarray(HEADER_BYTES)
  if (await checksumLarge(payload) !== data.readUInt32BE(MAGIC.length)) return err(damaged(file, HEADER_BYTES, 'the snapshot has a wrong checksum'))
  return ok(payload)
}

/** Verifies and decodes a snapshot. */
export async function decodeSnapshot (file: string, data: Buffer): Promise<Result<Snapshot, StorageError>> {
  const payload = await verifySnapshot(file, data)
  return payload.map((content) => unpack(content) as Snapshot)
}

/** File name of the snapshot at a log index. */
export const snapshotName = (index: number) => `${String(index).padStart(16, '0')}.snap`
