import type { Refusal } from '@orioleslip/core'
import { createByteQueue, type ByteQueue } from './byte-queue.js'
import { CREDIT_STEP_BYTES, STREAM_WINDOW_BYTES, type CallHead, type CallReport, type ResponseHead, type StreamMessage } from './messages.js'
import { createCreditReturn, createSendWindow } from './send-window.js'

/** First result of a call. */
export type CallReply =
  | { kind: 'head', head: ResponseHead, body: ByteQueue }
  | { kind: 'refused', refusal: Refusal, report: CallReport }
  /** The connection closed before a result arrived; the call may have run. */
  | { kind: 'lost', message: string }
  | { kind: 'cancelled' }

/** End of a response whose head has arrived. */
export type CallFinish =
  | { kind: 'complete', report: CallReport }
  | { kind: 'aborted', refusal: Refusal, report: CallReport }
  | { kind: 'lost', message: string }
  | { kind: 'cancelled' }

/** Caller side of a call stream. */
export type OutgoingCall = {
  /** Sends body bytes; if a promise is returned, the sender should await it before it sends the next chunk. */
  write: (chunk: Uint8Array) => Promise<void> | undefined
  end: () => void
  /** Resolves when the receiver accepts a deferred body, and also when the call has ended. */
  accepted: Promise<void>
  reply: Promise<CallReply>
  /** Resolves after the last byte of the response; only meaningful if `reply` resolved with a head. */
  finish: Promise<CallFinish>
  cancel: () => void
  /** Asks for a refusal of the call, unless it has been sent to the target; nodes of earlier versions ignore it. */
  recall: () => void
  /** Number of body bytes sent and response bytes received, for the accounting of inter-region traffic. */
  bytes: () => { sent: number, received: number }
  receive: (msg: StreamMessage) => void
  lost: (message: string) => void
}

/**
 * Opens a call stream; `send` sends messages to the executor side, `sendRecall` asks it for the call back, and `onClosed` is called once
 * when the stream has ended.
 */
export function createOutgoingCall (
  head: CallHead, send: (msg: StreamMessage) => void, onClosed: () => void, sendRecall: () => void
): OutgoingCall {
  let sent = 0
  let received = 0
  let ended = false
  let accept: () => void = () => {}
  let reply: (value: CallReply) => void = () => {}
  let finish: (value: CallFinish) => void = () => {}
  const accepted = new Promise<void>((resolve) => { accept = resolve })
  const replied = new Promise<CallReply>((resolve) => { reply = resolve })
  const finished = new Promise<CallFinish>((resolve) => { finish = resolve })

  const sendWindow = createSendWindow(STREAM_WINDOW_BYTES, (chunk) => {
    sent += chunk.length
    send({ type: 'data', chunk })
  })
  const body = createByteQueue(createCreditReturn(CREDIT_STEP_BYTES, (bytes) => { if (!ended) send({ type: 'credit', bytes }) }))

  const close = () => {
    if (ended) return
    ended = true
    sendWindow.close()
    accept()
    onClosed()
  }
  send({ type: 'head', head })
  return {
    write: (chunk) => sendWindow.write(chunk),
    end: () => { if (!ended) send({ type: 'end' }) },
    accepted,
    reply: replied,
    finish: finished,
    cancel: () => {
      if (ended) return
      send({ type: 'cancel' })
      close()
      body.fail(new Error('the call was cancelled'))
      reply({ kind: 'cancelled' })
      finish({ kind: 'cancelled' })
    },
    recall: () => { if (!ended) sendRecall() },
    bytes: () => ({ sent, received }),
    receive: (msg) => {
      if (ended) return
      switch (msg.type) {
        case 'accept': return accept()
        case 'credit': return sendWindow.credit(msg.bytes)
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
          body.fail(new Error(`the response was cut off: ${msg.refusal.detail}`))
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
