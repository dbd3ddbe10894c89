/** Probes a runner's address with a TCP connection that carries no request. */
import { connect } from 'node:net'
import { ListenerProbe } from './types.js'

/** A live host refuses a connection to a closed port in one round trip. */
const PROBE_TIMEOUT_MS = 700
const REFUSED = 'ECONNREFUSED'

export class TcpProbe extends ListenerProbe {
  static create (): TcpProbe {
    return new TcpProbe()
  }

  override isRefused (address: string): Promise<boolean> {
    const [host, port] = address.split(':')
    return new Promise((resolve) => {
      const socket = connect({ host, port: Number(port), timeout: PROBE_TIMEOUT_MS })
      const settle = (refused: boolean) => {
        socket.destroy()
        resolve(refused)
      }
      socket.on('connect', () => settle(false))
      socket.on('timeout', () => settle(false))
      socket.on('error', (error: NodeJS.ErrnoException) => settle(error.code === REFUSED))
    })
  }
}
