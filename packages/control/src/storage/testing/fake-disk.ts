import { dirname } from 'node:path'
import type { Random } from '@orioleslip/core'
import type { FileSystem } from '../file-system.js'

type Inode = { data: Buffer, durable: Buffer }
/** Operation that can be made to fail. */
export type DiskOperation = 'makeDir' | 'list' | 'read' | 'open' | 'write' | 'sync' | 'truncate' | 'rename' | 'remove' | 'syncDir'

/** An in-memory disk that loses unsynced writes and names in a crash. */
export type FakeDisk = {
  /** A file system for one process; `beforeOperation` delays its operations, or never resolves once the process is dead. */
  mount: (beforeOperation?: () => Promise<void>) => FileSystem
  /** Returns the error code with which an operation fails; undefined lets it succeed. */
  fault: ((operation: DiskOperation, path: string) => string | undefined) | undefined
  /** Simulates a crash. `random` decides how much of the unsynced names and data reaches the disk; without it they are all lost. */
  crash: (random?: Random) => void
  erase: () => void
  paths: () => string[]
  /** Changes bytes of a file in place. */
  corrupt: (path: string, change: (data: Buffer) => Buffer) => void
}

const failWith = (code: string): never => { throw Object.assign(new Error(code), { code }) }

/** Creates an empty disk. */
export function createFakeDisk (): FakeDisk {
  let names = new Map<string, Inode>()
  let durableNames = new Map<string, Inode>()
  const dirs = new Set<string>()

  const inodeAt = (path: string) => names.get(path) ?? failWith('ENOENT')
  const inDir = (map: Map<string, Inode>, dir: string) => [...map].filter(([path]) => dirname(path) === dir)

  function mount (beforeOperation: () => Promise<void> = () => Promise.resolve()): FileSystem {
    const operate = async <T>(operation: DiskOperation, path: string, run: () => T): Promise<T> => {
      await beforeOperation()
      const code = disk.fault?.(operation, path)
      return code === undefined ? run() : failWith(code)
    }
    return {
      makeDir: (path) => operate('makeDir', path, () => { dirs.add(path) }),
      list: (path) => operate('list', path, () => {
        const folders = [...dirs].filter((dir) => dirname(dir) === path)
        return dirs.has(path) ? [...inDir(names, path).map(([file]) => file), ...folders].map((file) => file.slice(path.length + 1)) : failWith('ENOENT')
      }),
      read: (path) => operate('read', path, () => Buffer.from(inodeAt(path).data)),
      open: (path, mode) => operate('open', path, () => {
        if (mode === 'replace') names.set(path, { data: Buffer.alloc(0), durable: Buffer.alloc(0) })
        const inode = inodeAt(path)
        return {
          write: (data, position) => operate('write', path, () => {
            const grown = Buffer.alloc(Math.max(inode.data.length, position + data.length))
            inode.data.copy(grown)
            grown.set(data, position)
            inode.data = grown
          }),
          sync: () => operate('sync', path, () => { inode.durable = Buffer.from(inode.data) }),
          truncate: (size) => operate('truncate', path, () => { inode.data = Buffer.from(inode.data.subarray(0, size)) }),
          close: () => operate('list', path, () => {})
        }
      }),
      rename: (from, to) => operate('rename', from, () => {
        names.set(to, inodeAt(from))
        names.delete(from)
      }),
      remove: (path) => operate('remove', path, () => { names.delete(inodeAt(path) && path) }),
      syncDir: (path) => operate('syncDir', path, () => {
        for (const [file] of inDir(durableNames, path)) durableNames.delete(file)
        for (const [file, inode] of inDir(names, path)) durableNames.set(file, inode)
      })
    }
  }

  const disk: FakeDisk = {
    mount,
    fault: undefined,
    crash: (random) => {
      if (random === undefined || random.next() < 0.5) names = new Map(durableNames)
      durableNames = new Map(names)
      for (const inode of new Set(names.values())) {
        inode.data = random === undefined ? inode.durable : partlyWritten(inode, random)
        inode.durable = Buffer.from(inode.data)
      }
    },
    erase: () => {
      names = new Map()
      durableNames = new Map()
      dirs.clear()
    },
    paths: () => [...names.keys()].sort(),
    corrupt: (path, change) => {
      const inode = inodeAt(path)
      inode.data = change(Buffer.from(inode.data))
      inode.durable = Buffer.from(inode.data)
    }
  }
  return disk
}

/** Content of a file after a crash: the synced content, the new one, a prefix of the new one, or the new one with a range of zeros. */
function partlyWritten ({ data, durable }: Inode, random: Random): Buffer {
  const choice = random.int(4)
  if (choice === 0 || data.equals(durable)) return durable
  if (choice === 1 || data.length <= durable.length) return data
  const start = durable.length + random.int(data.length - durable.length)
  if (choice === 2) return data.subarray(0, start)
  const res = Buffer.from(data)
  return res.fill(0, start, start + 1 + random.int(data.length - start))
}
