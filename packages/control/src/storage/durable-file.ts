import { dirname } from 'node:path'
import { err, ok, type Result } from 'neverthrow'
import { attempt, attemptSync, type StorageError } from './errors.js'
import type { FileSystem } from './file-system.js'

/** Replaces a file so that after a crash either the old or the new content is there. */
export async function replaceFile (fs: FileSystem, path: string, data: Uint8Array): Promise<Result<void, StorageError>> {
  const temporary = `${path}.tmp`
  const opened = await attempt(temporary, () => fs.open(temporary, 'replace'))
  if (opened.isErr()) return err(opened.error)
  const file = opened.value
  const written = await attempt(temporary, () => file.write(data, 0))
  const synced = written.isOk() ? await attemptSync(temporary, file.sync) : written
  await attempt(temporary, file.close)
  if (synced.isErr()) {
    await attempt(temporary, () => fs.remove(temporary))
    return synced
  }
  const renamed = await attempt(path, () => fs.rename(temporary, path))
  if (renamed.isErr()) return renamed
  return await attemptSync(path, () => fs.syncDir(dirname(path)))
}

/** Reads a file; undefined when there is none. */
export async function readIfPresent (fs: FileSystem, path: string): Promise<Result<Buffer | undefined, StorageError>> {
  try {
    return ok(await fs.read(path))
  } catch (cause) {
    if ((cause as { code?: string }).code === 'ENOENT') return ok(undefined)
    return await attempt(path, () => Promise.reject(cause))
  }
}
