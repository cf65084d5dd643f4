import { dirname } from 'node:path'
import { err, ok, type Result } from 'neverthrow'
import { attempt, attemptSync, type StorageError } from './errors.js'
import type { FileSystem } from './file-system.js'

/** Replaces a file atomically: after a crash it has either the old or the new content. */
export async function replaceFile (fs: FileSystem, path: string, data: Uint8Array): Promise<Result<void, StorageError>> {
  const temporaryPath = `${path}.tmp`
  const opened = await attempt(temporaryPath, () => fs.open(temporaryPath, 'replace'))
  if (opened.isErr()) return err(opened.error)
  const file = opened.value
  const written = await attempt(temporaryPath, () => file.write(data, 0))
  const synced = written.isOk() ? await attemptSync(temporaryPath, file.sync) : written
  await attempt(temporaryPath, file.close)
  if (synced.isErr()) {
    await attempt(temporaryPath, () => fs.remove(temporaryPath))
    return synced
  }
  const renamed = await attempt(path, () => fs.rename(temporaryPath, path))
  if (renamed.isErr()) return renamed
  return await attemptSync(path, () => fs.syncDir(dirname(path)))
}

/** Reads a file; undefined when it does not exist. */
export async function readIfPresent (fs: FileSystem, path: string): Promise<Result<Buffer | undefined, StorageError>> {
  try {
    return ok(await fs.read(path))
  } catch (cause) {
    if ((cause as { code?: string }).code === 'ENOENT') return ok(undefined)
    return await attempt(path, () => Promise.reject(cause))
  }
}
