import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { toNodeListener, type App } from 'h3'

/** An HTTP server that accepts connections. */
export type HttpListener = {
  /** Base URL without a trailing slash. */
  url: string
  /** Stops listening and closes every connection. */
  close: () => Promise<void>
}

/** Starts an HTTP server. Port 0 lets the system choose a free port. Rejects if the port is in use. */
export function listen (app: App, host: string, port: number): Promise<HttpListener> {
  const server = createServer(toNodeListener(app))
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      const address = server.address() as AddressInfo
      resolve({ url: `http://${host.includes(':') ? `[${host}]` : host}:${address.port}`, close: () => close() })
    })
  })

  function close (): Promise<void> {
    return new Promise((resolve) => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}
