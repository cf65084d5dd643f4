import { mkdir, open, readdir, readFile, rename, rm } from 'node:fs/promises'
import { dirname, join } from 'node:path'

/** An open file; errors carry the `code` of the operating system. */
export type OpenFile = {
  write: (data: Uint8Array, position: number) => Promise<void>
  /** Resolves when the content and the size are on the disk. */
  sync: () => Promise<void>
  truncate: (size: number) => Promise<void>
  close: () => Promise<void>
}

/** File operations used by the storage; tests pass an implementation that injects faults. */
export type FileSystem = {
  /** Creates the folder and its parents. */
  makeDir: (path: string) => Promise<void>
  /** Names of the files and folders in a folder. */
  list: (path: string) => Promise<string[]>
  read: (path: string) => Promise<Buffer>
  /** `replace` creates the file or empties it. */
  open: (path: string, mode: 'replace' | 'existing') => Promise<OpenFile>
  rename: (from: string, to: string) => Promise<void>
  remove: (path: string) => Promise<void>
  /** Makes the creation, renaming and removal of names in a folder durable. */
  syncDir: (path: string) => Promise<void>
}

/** The file system of the operating system. */
export const nodeFileSystem: FileSystem = {
  makeDir: async (path) => {
    const firstCreated = await mkdir(path, { recursive: true })
    if (firstCreated === undefined) return
    for (let dir = path; ; dir = dirname(dir)) {
      await nodeFileSystem.syncDir(dirname(dir))
      if (dir === firstCreated || dir === dirname(dir)) return
    }
  },
  list: (path) => readdir(path),
  read: (path) => readFile(path),
  open: async (path, mode) => {
    const handle = await open(path, mode === 'replace' ? 'w+' : 'r+')
    return {
      write: async (data, position) => {
        for (let done = 0; done < data.length;) {
          done += (await handle.write(data, done, data.length - done, position + done)).bytesWritten
        }
      },
      sync: () => handle.datasync(),
      truncate: (size) => handle.truncate(size),
      close: () => handle.close()
    }
  },
  rename: (from, to) => rename(from, to),
  remove: (path) => rm(path),
  syncDir: async (path) => {
    const handle = await open(path, 'r')
    try {
      await handle.sync()
    } finally {
      await handle.close()
    }
  }
}

/** Name of the file with a replica's hard state, which includes its storage id. */
export const HARD_STATE_FILE = 'hard-state.json'

/** Moves every file of a folder into a new subfolder and returns its name, so that damaged files stay available for inspection. */
export async function moveAside (fs: FileSystem, dir: string): Promise<string> {
  const names = await fs.list(dir)
  let suffix = 1
  while (names.includes(`damaged-${suffix}`)) suffix++
  const target = join(dir, `damaged-${suffix}`)
  await fs.makeDir(target)
  const moved = names.filter((name) => !name.startsWith('damaged-'))
  const move = async (name: string) => {
    await fs.rename(join(dir, name), join(target, name))
    await fs.syncDir(target)
    await fs.syncDir(dir)
  }
  // The hard state is moved first, so that after a crash in between no replica starts with an emptied log under the old storage id.
  for (const name of moved.filter((other) => other === HARD_STATE_FILE)) await move(name)
  for (const name of moved.filter((other) => other !== HARD_STATE_FILE)) await move(name)
  return target
}
