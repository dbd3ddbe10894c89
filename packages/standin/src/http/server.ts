import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { toNodeListener, type App } from 'h3'

/** A listener that is up. */
export type Listening = {
  /** Base address without a slash at the end. */
  url: string
  /** Ends the listener and every connection. */
  close: () => Promise<void>
}

/** Listens on a port; port 0 lets the system choose. Rejects if the port is in use. */
export function listen (app: App, host: string, port: number): Promise<Listening> {
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
