/** Addresses for listeners, for tests that must know them before the listeners open. */
import { createServer } from 'node:net'

/** Below the system's ephemeral ports, which an outgoing connection may take before the listener opens. */
const FIRST_PORT = 20_000
const PORT_COUNT = 12_000

/** Returns a loopback address that nothing listens on. */
export async function freeAddress (): Promise<string> {
  const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT)
  return await isFree(port) ? `127.0.0.1:${port}` : await freeAddress()
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  const isOpen = await new Promise<boolean>((resolve) => {
    server.on('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => resolve(true))
  })
  if (isOpen) await new Promise((resolve) => server.close(resolve))
  return isOpen
}
