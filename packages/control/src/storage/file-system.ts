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

/** The file operations that storage needs; tests pass one that injects faults. */
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
  /** Makes created, renamed and removed names in a folder durable. */
  syncDir: (path: string) => Promise<void>
}

/** The file system of the operating system. */
export const nodeFileSystem: FileSystem = {
  makeDir: async (path) => {
    const first = await mkdir(path, { recursive: true })
    if (first === undefined) return
    for (let dir = path; ; dir = dirname(dir)) {
      await nodeFileSystem.syncDir(dirname(dir))
      if (dir === first || dir === dirname(dir)) return
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

/** The file with the storage id of a replica. */
export const IDENTITY_FILE = 'hard-state.json'

/** Moves every file of a folder into a new subfolder and returns its name, so that damaged files stay available for inspection. */
export async function moveAside (fs: FileSystem, dir: string): Promise<string> {
  const names = await fs.list(dir)
  let number = 1
  while (names.includes(`damaged-${number}`)) number++
  const target = join(dir, `damaged-${number}`)
  await fs.makeDir(target)
  const moved = names.filter((name) => !name.startsWith('damaged-'))
  const move = async (name: string) => {
    await fs.rename(join(dir, name), join(target, name))
    await fs.syncDir(target)
    await fs.syncDir(dir)
  }
  // The identity goes first: after a crash in between, an emptied log must not pass for the replica that it was.
  for (const name of moved.filter((other) => other === IDENTITY_FILE)) await move(name)
  for (const name of moved.filter((other) => other !== IDENTITY_FILE)) await move(name)
  return target
}
