import { createConnection } from 'node:net'

/** Resolves to whether a plain service's address accepts a TCP connection; sends no request. */
export function probeService (url: string, signal: AbortSignal): Promise<boolean> {
  const { hostname, port, protocol } = new URL(url)
  const defaultPort = protocol === 'https:' ? 443 : 80
  return new Promise((resolve) => {
    const socket = createConnection({ host: hostname, port: port === '' ? defaultPort : Number(port) })
    const finish = (accepted: boolean) => {
      socket.destroy()
      resolve(accepted)
    }
    socket.once('connect', () => finish(true))
    socket.once('error', () => finish(false))
    signal.addEventListener('abort', () => finish(false), { once: true })
  })
}
