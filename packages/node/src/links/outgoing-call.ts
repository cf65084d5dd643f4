import type { Refusal } from '@orioleslip/core'
import { createByteQueue, type ByteQueue } from './byte-queue.js'
import { CREDIT_STEP_BYTES, STREAM_WINDOW_BYTES, type CallHead, type CallReport, type ResponseHead, type StreamMessage } from './messages.js'
import { createCreditReturn, createSendWindow } from './send-window.js'

/** First result of a call. */
export type CallReply =
  | { kind: 'head', head: ResponseHead, body: ByteQueue }
  | { kind: 'refused', refusal: Refusal, report: CallReport }
  /** The link closed before a result came; the call may have run. */
  | { kind: 'lost', message: string }
  | { kind: 'cancelled' }

/** End of an answer whose head has arrived. */
export type CallFinish =
  | { kind: 'complete', report: CallReport }
  | { kind: 'aborted', refusal: Refusal, report: CallReport }
  | { kind: 'lost', message: string }
  | { kind: 'cancelled' }

/** The caller's side of a call stream. */
export type OutgoingCall = {
  /** Sends body bytes; a promise asks the sender to wait before the next chunk. */
  write: (chunk: Uint8Array) => Promise<void> | undefined
  end: () => void
  /** Resolves when the receiver accepts the offer, and also when the call is over. */
  accepted: Promise<void>
  reply: Promise<CallReply>
  /** Resolves after the answer's last byte; only meaningful after `reply` gave a head. */
  finish: Promise<CallFinish>
  cancel: () => void
  /** Body bytes sent and answer bytes received, for the account of inter-region traffic. */
  bytes: () => { sent: number, received: number }
  receive: (msg: StreamMessage) => void
  lost: (message: string) => void
}

/** Opens a call stream; `send` carries messages to the other side and `closed` is called once when the stream is over. */
export function createOutgoingCall (head: CallHead, send: (msg: StreamMessage) => void, closed: () => void): OutgoingCall {
  let sent = 0
  let received = 0
  let over = false
  let accept: () => void = () => {}
  let reply: (value: CallReply) => void = () => {}
  let finish: (value: CallFinish) => void = () => {}
  const accepted = new Promise<void>((resolve) => { accept = resolve })
  const replied = new Promise<CallReply>((resolve) => { reply = resolve })
  const finished = new Promise<CallFinish>((resolve) => { finish = resolve })

  const window = createSendWindow(STREAM_WINDOW_BYTES, (chunk) => {
    sent += chunk.length
    send({ type: 'data', chunk })
  })
  const body = createByteQueue(createCreditReturn(CREDIT_STEP_BYTES, (bytes) => { if (!over) send({ type: 'credit', bytes }) }))

  const close = () => {
    if (over) return
    over = true
    window.close()
    accept()
    closed()
  }
  send({ type: 'head', head })
  return {
    write: (chunk) => window.write(chunk),
    end: () => { if (!over) send({ type: 'end' }) },
    accepted,
    reply: replied,
    finish: finished,
    cancel: () => {
      if (over) return
      send({ type: 'cancel' })
      close()
      body.fail(new Error('the call was cancelled'))
      reply({ kind: 'cancelled' })
      finish({ kind: 'cancelled' })
    },
    bytes: () => ({ sent, received }),
    receive: (msg) => {
      if (over) return
      switch (msg.type) {
        case 'accept': return accept()
        case 'credit': return window.credit(msg.bytes)
        case 'responseHead': return reply({ kind: 'head', head: msg.head, body })
        case 'responseData':
          received += msg.chunk.length
          return body.push(msg.chunk)
        case 'responseEnd':
          close()
          body.end()
          return finish({ kind: 'complete', report: msg.report })
        case 'refuse':
          close()
          body.fail(new Error(`the answer was cut short: ${msg.refusal.detail}`))
          reply({ kind: 'refused', refusal: msg.refusal, report: msg.report })
          return finish({ kind: 'aborted', refusal: msg.refusal, report: msg.report })
        case 'head': case 'data': case 'end': case 'cancel':
          // These messages belong to the other direction; a peer that sends them here is ignored.
      }
    },
    lost: (message) => {
      close()
      body.fail(new Error(message))
      reply({ kind: 'lost', message })
      finish({ kind: 'lost', message })
    }
  }
}
