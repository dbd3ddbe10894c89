import { createConnection } from 'node:net'

/** Whether a plain service's address accepts a connection; sends nothing. */
export function probeService (url: string, signal: AbortSignal): Promise<boolean> {
  const { hostname, port, protocol } = new URL(url)
  const defaultPort = protocol === 'https:' ? 443 : 80
  return new Promise((resolve) => {
    const socket = createConnection({ host: hostname, port: port === '' ? defaultPort : Number(port) })
    const finish = (answered: boolean) => {
      socket.destroy()
      resolve(answered)
    }
    socket.once('connect', () => finish(true))
    socket.once('error', () => finish(false))
    signal.addEventListener('abort', () => finish(false), { once: true })
  })
}
