/** Probes an address with a TCP connection that is closed as soon as it is open. */
import { connect } from 'node:net'
import { ConnectProbe, ProbeResult } from './connect-probe.js'

export class TcpConnectProbe extends ConnectProbe {
  static create (): TcpConnectProbe {
    return new TcpConnectProbe()
  }

  override probe (address: string, timeoutMs: number): Promise<ProbeResult> {
    const separator = address.lastIndexOf(':')
    return new Promise((resolve) => {
      const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) })
      const settle = (result: ProbeResult) => {
        clearTimeout(timer)
        socket.destroy()
        resolve(result)
      }
      // After a stall of the event loop the timer fires before the socket's events are read: those go first.
      const timer = setTimeout(() => setImmediate(settle, ProbeResult.Silent), timeoutMs)
      socket.on('connect', () => settle(ProbeResult.Accepted))
      socket.on('error', () => settle(ProbeResult.Refused))
    })
  }
}
