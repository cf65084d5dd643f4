import { randomBytes } from 'node:crypto'
import { sign, verifySignature } from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import type { ConnectionMessage } from './frames.js'

const NONCE_BYTES = 16

/** Rejection of a handshake message, after which the connection is closed. */
export type HandshakeError = { kind: 'handshakeFailed', message: string }

const WRONG_KEY: HandshakeError = {
  kind: 'handshakeFailed',
  message: 'the peer does not hold the fleet key; set the same auth.fleetKey on all processes of the fleet'
}

/** Creates one side of the mutual authentication of a peer connection: each side signs the nonces of both with the fleet key. */
export function createHandshake (fleetKey: string, vmId: string) {
  const nonce = randomBytes(NONCE_BYTES)
  const createProof = (role: 'dialer' | 'listener', dialerNonce: Uint8Array, listenerNonce: Uint8Array) =>
    sign(fleetKey, Buffer.concat([Buffer.from(`orioleslip ${role} `), dialerNonce, listenerNonce]))
  const verifyProof = (role: 'dialer' | 'listener', dialerNonce: Uint8Array, listenerNonce: Uint8Array, proof: unknown) =>
    proof instanceof Uint8Array &&
    verifySignature(fleetKey, Buffer.concat([Buffer.from(`orioleslip ${role} `), dialerNonce, listenerNonce]), proof)
  return {
    /** First message of the dialing side. */
    hello: () => ({ type: 'hello' as const, vmId, nonce }),
    /** Reply of the listening side, with its proof. */
    welcome: (hello: { nonce: Uint8Array }): ConnectionMessage =>
      ({ type: 'welcome', vmId, nonce, proof: createProof('listener', hello.nonce, nonce) }),
    /** Verifies the listener's proof on the dialing side; returns the message with the dialer's proof. */
    verifyWelcome: (welcome: { nonce: Uint8Array, proof: Uint8Array }): Result<ConnectionMessage, HandshakeError> =>
      verifyProof('listener', nonce, welcome.nonce, welcome.proof)
        ? ok({ type: 'proof', proof: createProof('dialer', nonce, welcome.nonce) })
        : err(WRONG_KEY),
    /** Verifies the dialer's proof on the listening side. */
    checkProof: (hello: { nonce: Uint8Array }, proof: Uint8Array): Result<void, HandshakeError> =>
      verifyProof('dialer', hello.nonce, nonce, proof) ? ok(undefined) : err(WRONG_KEY)
  }
}
