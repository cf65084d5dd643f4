import { PRIORITY_COUNT } from '@orioleslip/core'

/** Element of a `PriorityQueue`; the links belong to the queue. */
export type QueueNode<T> = { priority: number, value: T, prev: QueueNode<T> | undefined, next: QueueNode<T> | undefined, queued: boolean }

/** Priority queue with one FIFO list for each of the 256 priorities. */
export type PriorityQueue<T> = {
  size: () => number
  push: (priority: number, value: T) => QueueNode<T>
  /** Removes and returns the oldest element of the highest priority; undefined when the queue is empty. */
  shift: () => T | undefined
  /** Removes an element; false when it is no longer queued. */
  remove: (node: QueueNode<T>) => boolean
  /** Finds the newest element of the lowest priority for which `accept` returns true. */
  findLowest: (accept: (value: T) => boolean) => QueueNode<T> | undefined
  /** Visits every element; the callback may remove the element it is called with. */
  forEach: (visit: (node: QueueNode<T>) => void) => void
}

type Bucket<T> = { head: QueueNode<T> | undefined, tail: QueueNode<T> | undefined }

/** Creates an empty queue. Every operation but `forEach` costs at most one pass over the 256 buckets. */
export function createPriorityQueue<T> (): PriorityQueue<T> {
  const buckets: Bucket<T>[] = Array.from({ length: PRIORITY_COUNT }, () => ({ head: undefined, tail: undefined }))
  let size = 0
  // Buckets outside these bounds are empty; buckets within them may be.
  let lowest = PRIORITY_COUNT
  let highest = -1

  const remove = (node: QueueNode<T>): boolean => {
    if (!node.queued) return false
    const bucket = buckets[node.priority]!
    if (node.prev === undefined) bucket.head = node.next
    else node.prev.next = node.next
    if (node.next === undefined) bucket.tail = node.prev
    else node.next.prev = node.prev
    node.queued = false
    size--
    return true
  }
  return {
    size: () => size,
    push: (priority, value) => {
      const bucket = buckets[priority]!
      const node: QueueNode<T> = { priority, value, prev: bucket.tail, next: undefined, queued: true }
      if (bucket.tail === undefined) bucket.head = node
      else bucket.tail.next = node
      bucket.tail = node
      lowest = Math.min(lowest, priority)
      highest = Math.max(highest, priority)
      size++
      return node
    },
    shift: () => {
      if (size === 0) return undefined
      while (buckets[highest]!.head === undefined) highest--
      const node = buckets[highest]!.head!
      remove(node)
      return node.value
    },
    remove,
    findLowest: (accept) => {
      if (size === 0) return undefined
      while (buckets[lowest]!.head === undefined) lowest++
      for (let p = lowest; p <= highest; p++) {
        for (let node = buckets[p]!.tail; node !== undefined; node = node.prev) if (accept(node.value)) return node
      }
      return undefined
    },
    forEach: (visit) => {
      for (let p = lowest; p <= highest; p++) {
        for (let node = buckets[p]!.head; node !== undefined;) {
          const { next } = node
          visit(node)
          node = next
        }
      }
    }
  }
}
