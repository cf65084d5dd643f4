import type { Refusal } from '@orioleslip/core'
import { createByteQueue, type ByteQueue } from './byte-queue.js'
import { CREDIT_STEP_BYTES, STREAM_WINDOW_BYTES, type CallHead, type CallReport, type ResponseHead, type StreamMessage } from './messages.js'
import { createCreditReturn, createSendWindow } from './send-window.js'

/** The executor's side of a call stream. */
export type IncomingCall = {
  head: CallHead
  body: ByteQueue
  /** Aborts when the caller cancels or its link closes. */
  signal: AbortSignal
  accept: () => void
  respond: (head: ResponseHead) => void
  /** Sends answer bytes; a promise asks the sender to wait before the next chunk. */
  write: (chunk: Uint8Array) => Promise<void> | undefined
  end: (report: CallReport) => void
  /** Refuses the call, or cuts off an answer that has begun. */
  refuse: (refusal: Refusal, report: CallReport) => void
  receive: (msg: StreamMessage) => void
  lost: (message: string) => void
}

/** Accepts a call stream; `closed` is called once when the stream is over. */
export function createIncomingCall (head: CallHead, send: (msg: StreamMessage) => void, closed: () => void): IncomingCall {
  const abort = new AbortController()
  let over = false
  const window = createSendWindow(STREAM_WINDOW_BYTES, (chunk) => { send({ type: 'responseData', chunk }) })
  const body = createByteQueue(createCreditReturn(CREDIT_STEP_BYTES, (bytes) => { if (!over) send({ type: 'credit', bytes }) }))
  const close = () => {
    if (over) return
    over = true
    window.close()
    closed()
  }
  const stop = (message: string) => {
    if (over) return
    close()
    body.fail(new Error(message))
    abort.abort(new Error(message))
  }
  return {
    head,
    body,
    signal: abort.signal,
    accept: () => { if (!over) send({ type: 'accept' }) },
    respond: (responseHead) => { if (!over) send({ type: 'responseHead', head: responseHead }) },
    write: (chunk) => window.write(chunk),
    end: (report) => {
      if (!over) send({ type: 'responseEnd', report })
      close()
    },
    refuse: (refusal, report) => {
      if (!over) send({ type: 'refuse', refusal, report })
      close()
      body.fail(new Error(refusal.detail))
    },
    receive: (msg) => {
      if (over) return
      switch (msg.type) {
        case 'data': return body.push(msg.chunk)
        case 'end': return body.end()
        case 'credit': return window.credit(msg.bytes)
        case 'cancel': return stop('the caller cancelled the call')
        case 'head': case 'accept': case 'responseHead': case 'responseData': case 'responseEnd': case 'refuse':
          // These messages belong to the other direction; a peer that sends them here is ignored.
      }
    },
    lost: stop
  }
}
