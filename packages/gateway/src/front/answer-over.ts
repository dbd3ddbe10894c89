/** The end of an answer: its caller has it, or the connection is closed. */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** Called when the connection closes. One listener for each connection, however many answers wait on it. */
const openAnswers = new WeakMap<Socket, Set<() => void>>()

/**
 * Calls back once, at the end of the answer. Node emits nothing when the connection closes on an answer that waits behind another one
 * of the same connection.
 */
export function onceOver (response: ServerResponse, onOver: () => void): void {
  const { socket } = response.req
  if (response.destroyed || socket.destroyed) return onOver()
  const ofSocket = openAnswers.get(socket) ?? listen(socket)
  const finish = () => {
    response.off('close', finish)
    if (ofSocket.delete(finish)) onOver()
  }
  ofSocket.add(finish)
  response.once('close', finish)
}

function listen (socket: Socket): Set<() => void> {
  const ofSocket = new Set<() => void>()
  openAnswers.set(socket, ofSocket)
  socket.once('close', () => {
    for (const finish of [...ofSocket]) finish()
  })
  return ofSocket
}
