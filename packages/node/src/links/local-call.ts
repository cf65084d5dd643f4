import { createIncomingCall, type IncomingCall } from './incoming-call.js'
import type { CallHead, StreamMessage } from './messages.js'
import { createOutgoingCall, type OutgoingCall } from './outgoing-call.js'

/** Connects both sides of a call within this node; used when the chosen target is the one beside it. */
export function createLocalCall (head: CallHead, accept: (call: IncomingCall) => void): OutgoingCall {
  let incoming: IncomingCall | undefined
  const toIncoming = (msg: StreamMessage) => {
    if (msg.type !== 'head') return incoming?.receive(msg)
    incoming = createIncomingCall(msg.head, (reply) => outgoing.receive(reply), () => {})
  }
  const outgoing = createOutgoingCall(head, toIncoming, () => {})
  if (incoming !== undefined) accept(incoming)
  return outgoing
}
