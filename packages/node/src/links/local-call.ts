import { createIncomingCall, type IncomingCall } from './incoming-call.js'
import type { CallHead, StreamMessage } from './messages.js'
import { createOutgoingCall, type OutgoingCall } from './outgoing-call.js'

/** Connects both sides of a call within this node, for calls to the local target. */
export function createLocalCall (head: CallHead, onCall: (call: IncomingCall) => void): OutgoingCall {
  let incoming: IncomingCall | undefined
  const toIncoming = (msg: StreamMessage) => {
    if (msg.type !== 'head') return incoming?.receive(msg)
    incoming = createIncomingCall(msg.head, (reply) => outgoing.receive(reply), () => {})
  }
  const outgoing = createOutgoingCall(head, toIncoming, () => {}, () => incoming?.recall())
  if (incoming !== undefined) onCall(incoming)
  return outgoing
}
