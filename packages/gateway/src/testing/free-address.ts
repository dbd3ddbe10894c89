/** Addresses for listeners that have to be known before they are opened. */
import { createServer } from 'node:net'

/** Below the ports that the system gives to connections: one of those may be taken again before the listener opens. */
const FIRST_PORT = 20_000
const PORT_COUNT = 12_000

/** A loopback address that nobody listens on. */
export async function freeAddress (): Promise<string> {
  const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT)
  return await isFree(port) ? `127.0.0.1:${port}` : await freeAddress()
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  const opened = await new Promise<boolean>((resolve) => {
    server.on('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => resolve(true))
  })
  if (opened) await new Promise((resolve) => server.close(resolve))
  return opened
}
