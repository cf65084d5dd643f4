import { err, ok, type Result } from 'neverthrow'

/** A storage fault; `message` names the file and the remedy. */
export type StorageError =
  /** Content that was synced is missing or has changed; it is never served. */
  | { kind: 'damaged', file: string, offset: number, message: string }
  /** No space left; the write or sync can be tried again. */
  | { kind: 'full', file: string, message: string }
  /** The folder can't be written. */
  | { kind: 'readOnly', file: string, message: string }
  /** A sync failed; the content of the disk is unknown until the next start. */
  | { kind: 'syncFailed', file: string, message: string }
  | { kind: 'io', file: string, message: string }

/** Builds the error for damage at an offset of a file. */
export function damaged (file: string, offset: number, problem: string): StorageError {
  return {
    kind: 'damaged',
    file,
    offset,
    message: `${file}: ${problem} at offset ${offset}; the replica is rebuilt from its peers when they have a leader, ` +
      'otherwise restore the file or start the other control VMs first'
  }
}

/** Runs a file operation and converts an error of the operating system to a `StorageError`. */
export async function attempt<T> (file: string, operation: () => Promise<T>): Promise<Result<T, StorageError>> {
  try {
    return ok(await operation())
  } catch (cause) {
    return err(toStorageError(file, cause))
  }
}

/** Runs a sync; after a failure other than for want of space the content of the disk is unknown. */
export async function attemptSync (file: string, operation: () => Promise<void>): Promise<Result<void, StorageError>> {
  try {
    return ok(await operation())
  } catch (cause) {
    const error = toStorageError(file, cause)
    if (error.kind === 'full') return err(error)
    return err({ kind: 'syncFailed', file, message: `${file}: sync failed (${codeOf(cause)}); check the disk and restart the process` })
  }
}

const codeOf = (cause: unknown) => (cause as { code?: string }).code ?? String(cause)

function toStorageError (file: string, cause: unknown): StorageError {
  const code = codeOf(cause)
  switch (code) {
    case 'ENOSPC':
    case 'EDQUOT':
      return { kind: 'full', file, message: `${file}: no space left (${code}); free space on the volume of the data folder` }
    case 'EROFS':
    case 'EACCES':
    case 'EPERM':
      return { kind: 'readOnly', file, message: `${file}: not writable (${code}); make the data folder writable for this user` }
    default:
      return { kind: 'io', file, message: `${file}: ${code}; check the disk and restart the process` }
  }
}
