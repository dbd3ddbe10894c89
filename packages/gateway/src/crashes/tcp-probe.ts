/** Probes a runner's address with a TCP connection that carries no request. */
import { connect } from 'node:net'
import { ListenerProbe, ProbeResult } from './types.js'

const REFUSED = 'ECONNREFUSED'

export class TcpProbe extends ListenerProbe {
  static create (): TcpProbe {
    return new TcpProbe()
  }

  override probe (address: string, timeoutMs: number): Promise<ProbeResult> {
    const [host, port] = address.split(':')
    return new Promise((resolve) => {
      const socket = connect({ host, port: Number(port) })
      const settle = (result: ProbeResult) => {
        clearTimeout(timer)
        socket.destroy()
        resolve(result)
      }
      // After a stall of the event loop the timer fires before the socket's events are read: those go first.
      const timer = setTimeout(() => setImmediate(settle, ProbeResult.Silent), timeoutMs)
      socket.on('connect', () => settle(ProbeResult.Accepted))
      socket.on('error', (error: NodeJS.ErrnoException) => settle(error.code === REFUSED ? ProbeResult.Refused : ProbeResult.Silent))
    })
  }
}
