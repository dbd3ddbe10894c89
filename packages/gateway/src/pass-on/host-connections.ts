/**
 * Connections on which requests are passed on to other hosts. An error before a connection was accepted is marked, since it
 * proves that the host did not receive the request.
 */
import { Agent, type ClientRequestArgs } from 'node:http'
import { connect, type Socket } from 'node:net'

/** Hosts accept connections at once; a host that doesn't within this time is unreachable. */
const CONNECT_TIMEOUT_MS = 400
/** Below the time after which the other host closes an idle connection, so that no request is sent while it does. */
const IDLE_MS = 2_000
/** Error code of a connection that was not accepted. */
export const NOT_CONNECTED_CODE = 'HOST_NOT_CONNECTED'

export class HostConnections extends Agent {
  private constructor () {
    super({ keepAlive: true, timeout: IDLE_MS })
  }

  static create (): HostConnections {
    return new HostConnections()
  }

  override createConnection ({ host, port }: ClientRequestArgs): Socket {
    const socket = connect({ host: host ?? undefined, port: Number(port), noDelay: true })
    // After a stall of the event loop the timer fires before the socket's events are read: those go first.
    const timer = setTimeout(() => setImmediate(() => {
      if (socket.connecting) socket.destroy(new Error('the host accepted no connection in time'))
    }), CONNECT_TIMEOUT_MS)
    const markNotConnected = (error: NodeJS.ErrnoException) => { error.code = NOT_CONNECTED_CODE }
    socket.prependListener('error', markNotConnected)
    socket.once('connect', () => {
      clearTimeout(timer)
      socket.off('error', markNotConnected)
    })
    socket.once('close', () => clearTimeout(timer))
    return socket
  }
}

/** Whether the error, or one that caused it, is that of a connection that was not accepted. */
export function wasNotConnected (error: unknown): boolean {
  if (!(error instanceof Error)) return false
  if ((error as NodeJS.ErrnoException).code === NOT_CONNECTED_CODE) return true
  return error.cause !== error && wasNotConnected(error.cause)
}
