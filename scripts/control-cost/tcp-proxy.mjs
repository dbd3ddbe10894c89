import { connect, createServer } from 'node:net'

/** Relays TCP connections to loopback addresses and counts the bytes of both directions. */
export class Relays {
  bytes = 0
  #servers = []
  #sockets = new Set()

  /** Listens on a free port for `url`, which may be set later; answers the address to use in its place. */
  async to (target) {
    const server = createServer((socket) => {
      const { port } = new URL(target.url)
      const upstream = connect(Number(port), '127.0.0.1')
      for (const one of [socket, upstream]) {
        this.#sockets.add(one)
        one.on('data', (chunk) => { this.bytes += chunk.length })
        one.on('error', () => {})
        one.once('close', () => {
          this.#sockets.delete(one)
          socket.destroy()
          upstream.destroy()
        })
      }
      socket.pipe(upstream)
      upstream.pipe(socket)
    })
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
    this.#servers.push(server)
    return `http://127.0.0.1:${server.address().port}`
  }

  close () {
    for (const server of this.#servers) server.close()
    for (const socket of this.#sockets) socket.destroy()
  }
}
