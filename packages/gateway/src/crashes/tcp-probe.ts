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
      const socket = connect({ host, port: Number(port), timeout: timeoutMs })
      const settle = (result: ProbeResult) => {
        socket.destroy()
        resolve(result)
      }
      socket.on('connect', () => settle(ProbeResult.Accepted))
      socket.on('timeout', () => settle(ProbeResult.Silent))
      socket.on('error', (error: NodeJS.ErrnoException) => settle(error.code === REFUSED ? ProbeResult.Refused : ProbeResult.Silent))
    })
  }
}
