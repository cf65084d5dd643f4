import { randomBytes } from 'node:crypto'
import { sign, verifySignature } from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import type { ConnectionMessage } from './frames.js'

const NONCE_BYTES = 16

/** A handshake message that can't be accepted; the connection is closed. */
export type HandshakeError = { kind: 'handshakeFailed', message: string }

const WRONG_KEY: HandshakeError = {
  kind: 'handshakeFailed',
  message: 'the peer does not hold the fleet key; set the same auth.fleetKey on all processes of the fleet'
}

/** Mutual proof of the fleet key at the start of a peer connection; each side signs the nonces of both. */
export function createHandshake (fleetKey: string, vmId: string) {
  const nonce = randomBytes(NONCE_BYTES)
  const proofOf = (role: 'dialer' | 'listener', dialerNonce: Uint8Array, listenerNonce: Uint8Array) =>
    sign(fleetKey, Buffer.concat([Buffer.from(`orioleslip ${role} `), dialerNonce, listenerNonce]))
  const verify = (role: 'dialer' | 'listener', dialerNonce: Uint8Array, listenerNonce: Uint8Array, proof: unknown) =>
    proof instanceof Uint8Array &&
    verifySignature(fleetKey, Buffer.concat([Buffer.from(`orioleslip ${role} `), dialerNonce, listenerNonce]), proof)
  return {
    /** First message of the dialing side. */
    hello: (): ConnectionMessage => ({ type: 'hello', vmId, nonce }),
    /** Reply of the listening side. */
    welcome: (hello: { nonce: Uint8Array }): ConnectionMessage =>
      ({ type: 'welcome', vmId, nonce, proof: proofOf('listener', hello.nonce, nonce) }),
    /** Checks the listener's proof; gives the dialer's own proof or the reason to hang up. */
    answerWelcome: (welcome: { nonce: Uint8Array, proof: Uint8Array }): Result<ConnectionMessage, HandshakeError> =>
      verify('listener', nonce, welcome.nonce, welcome.proof)
        ? ok({ type: 'proof', proof: proofOf('dialer', nonce, welcome.nonce) })
        : err(WRONG_KEY),
    /** Checks the dialer's proof on the listening side. */
    checkProof: (hello: { nonce: Uint8Array }, proof: Uint8Array): Result<void, HandshakeError> =>
      verify('dialer', hello.nonce, nonce, proof) ? ok(undefined) : err(WRONG_KEY)
  }
}
