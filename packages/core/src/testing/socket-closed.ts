import type { Socket } from 'node:net'

/** Resolves when a socket has closed. Unlike `once` of node:events it doesn't reject if an error, such as a reset, closed it. */
export function socketClosed (socket: Socket): Promise<void> {
  return new Promise((resolve) => socket.once('close', () => resolve()))
}
