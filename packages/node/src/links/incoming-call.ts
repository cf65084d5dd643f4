import { createCanceller, type CancelSignal, type Refusal } from '@orioleslip/core'
import { createByteQueue, type ByteQueue } from './byte-queue.js'
import { CREDIT_STEP_BYTES, STREAM_WINDOW_BYTES, type CallHead, type CallReport, type ResponseHead, type StreamMessage } from './messages.js'
import { createCreditReturn, createSendWindow } from './send-window.js'

/** Executor side of a call stream. */
export type IncomingCall = {
  head: CallHead
  /** Time for which the head waited on its way, as far as that is known, in ms; 0 for calls within a node. */
  waitedMs: number
  /** Resolves once all messages that the caller had sent by now have been read; undefined if they can't have waited for long. */
  linkCaughtUp: () => Promise<void> | undefined
  body: ByteQueue
  /** Aborts when the caller cancels the call or its connection closes. */
  signal: CancelSignal
  /** Aborts when the caller asks for the call back, if it has not been sent to the target. */
  recalled: CancelSignal
  accept: () => void
  respond: (head: ResponseHead) => void
  hasResponse: () => boolean
  /** Sends response bytes; if a promise is returned, the sender should await it before it sends the next chunk. */
  write: (chunk: Uint8Array) => Promise<void> | undefined
  end: (report: CallReport) => void
  /** Refuses the call, or aborts a response that has already begun. */
  refuse: (refusal: Refusal, report: CallReport) => void
  receive: (msg: StreamMessage) => void
  recall: () => void
  lost: (message: string) => void
}

/** What a call knows of the connection on which it came. */
export type CallLink = {
  /** Time for which the head waited on its way, in ms. */
  waitedMs: number
  /** Resolves once all messages that the peer had sent by now have been read, or the connection has closed. */
  readAll: () => Promise<void>
}

const WITHIN_NODE: CallLink = { waitedMs: 0, readAll: () => Promise.resolve() }

/** Wait of a head from which the messages behind it may be late as well, in ms. */
const LINK_WAIT_LIMIT_MS = 100

/** Creates the executor side of a call stream; `onClosed` is called once when the stream has ended. */
export function createIncomingCall (
  head: CallHead, send: (msg: StreamMessage) => void, onClosed: () => void, link: CallLink = WITHIN_NODE
): IncomingCall {
  const abort = createCanceller()
  const recalled = createCanceller()
  let ended = false
  let hasResponse = false
  const sendWindow = createSendWindow(STREAM_WINDOW_BYTES, (chunk) => { send({ type: 'responseData', chunk }) })
  const body = createByteQueue(createCreditReturn(CREDIT_STEP_BYTES, (bytes) => { if (!ended) send({ type: 'credit', bytes }) }))
  const close = () => {
    if (ended) return
    ended = true
    sendWindow.close()
    onClosed()
  }
  const abortCall = (message: string) => {
    if (ended) return
    close()
    body.fail(new Error(message))
    abort.abort()
  }
  return {
    head,
    waitedMs: link.waitedMs,
    linkCaughtUp: () => link.waitedMs > LINK_WAIT_LIMIT_MS ? link.readAll() : undefined,
    body,
    signal: abort.signal,
    recalled: recalled.signal,
    accept: () => { if (!ended) send({ type: 'accept' }) },
    respond: (responseHead) => {
      hasResponse = true
      if (!ended) send({ type: 'responseHead', head: responseHead })
    },
    hasResponse: () => hasResponse,
    write: (chunk) => sendWindow.write(chunk),
    end: (report) => {
      if (!ended) send({ type: 'responseEnd', report })
      close()
    },
    refuse: (refusal, report) => {
      if (!ended) send({ type: 'refuse', refusal, report })
      close()
      body.fail(new Error(refusal.detail))
    },
    receive: (msg) => {
      if (ended) return
      switch (msg.type) {
        case 'data': return body.push(msg.chunk)
        case 'end': return body.end()
        case 'credit': return sendWindow.credit(msg.bytes)
        case 'cancel': return abortCall('the caller cancelled the call')
        case 'head': case 'accept': case 'responseHead': case 'responseData': case 'responseEnd': case 'refuse':
          // These messages belong to the other direction; a peer that sends them here is ignored.
      }
    },
    recall: () => { if (!ended) recalled.abort() },
    lost: abortCall
  }
}
