import { z } from 'zod'
import type { Clock, MembersView } from '@orioleslip/core'
import { createAskPeer } from '../links/ask-peer.js'
import type { PeerPool } from '../links/pool.js'
import { copyHolders } from '../members/copy-holders.js'
import type { Log } from '../members/self-record.js'
import { withdrawalSchema, type Withdrawal } from './withdrawal.js'
import { createWithdrawalStore } from './withdrawal-store.js'

/** Kinds of requests between nodes about withdrawals. */
const COPY = 'withdrawal'
const READ = 'withdrawals-of'

/** Number of nodes that get a copy, and number that a node asks when it has started, as some of the first ones may be down by then. */
const COPIES = 5
const SOURCES = 8
/** Longest wait for another node, in ms; the target waits for its ack meanwhile, and gives up after a second. */
const PEER_TIMEOUT_MS = 300
/** Number of withdrawals whose copying is remembered. */
const MAX_COPIED = 64

const vmIdSchema = z.string().max(64)
const copySchema = z.strictObject({ vmId: vmIdSchema, withdrawal: withdrawalSchema })

/** Keeps withdrawals at other nodes, since this process has no disk and its successor has to know of them. */
export type WithdrawalCopies = {
  /** Copies a withdrawal to other nodes, once; resolves when they have it, or after a limited time. */
  copy: (withdrawal: Withdrawal) => Promise<void>
  /** Reads the withdrawals that other nodes keep for this one. */
  read: () => Promise<Withdrawal[]>
  /** Handles a request of another node; undefined for one of another kind. */
  handle: (kind: string, body: unknown) => unknown
}

/** Dependencies of `createWithdrawalCopies`. */
export type WithdrawalCopiesOptions = {
  members: Pick<MembersView, 'self' | 'all'>
  request: PeerPool['request']
  clock: Clock
  log: Log
}

/** Creates the copies; the nodes that hold those of a VM follow from its id. */
export function createWithdrawalCopies ({ members, request, clock, log }: WithdrawalCopiesOptions): WithdrawalCopies {
  const store = createWithdrawalStore(clock)
  const copied = new Map<string, Promise<void>>()

  const holders = (count: number) => copyHolders(members, members.self().vmId, count)
  const ask = createAskPeer(clock, request, PEER_TIMEOUT_MS)

  const send = async (withdrawal: Withdrawal, key: string): Promise<void> => {
    const chosen = holders(COPIES)
    const replies = await Promise.all(chosen.map((holder) => ask(holder, COPY, { vmId: members.self().vmId, withdrawal })))
    const copies = replies.filter((reply) => reply === true).length
    const { instance, sequence } = withdrawal
    log.info({ event: 'withdrawal-copied', instance, sequence, copies, asked: chosen.length }, 'other nodes keep the withdrawal of the local target')
    // The next announcement tries again.
    if (copies === 0) copied.delete(key)
  }

  return {
    copy: (withdrawal) => {
      const { instance, startedMs, sequence } = withdrawal
      const key = JSON.stringify([instance, startedMs, sequence === undefined])
      const known = copied.get(key)
      if (known !== undefined) return known
      const sent = send(withdrawal, key)
      copied.set(key, sent)
      if (copied.size > MAX_COPIED) copied.delete(copied.keys().next().value!)
      return sent
    },
    read: async () => {
      const replies = await Promise.all(holders(SOURCES).map((holder) => ask(holder, READ, members.self().vmId)))
      return replies.flatMap((reply) => z.array(withdrawalSchema).safeParse(reply).data ?? [])
    },
    handle: (kind, body) => {
      switch (kind) {
        case COPY: {
          const copy = copySchema.safeParse(body)
          if (!copy.success) return false
          store.add(copy.data.vmId, copy.data.withdrawal)
          return true
        }
        case READ: {
          const vmId = vmIdSchema.safeParse(body)
          return vmId.success ? store.of(vmId.data) : []
        }
        default: return undefined
      }
    }
  }
}
