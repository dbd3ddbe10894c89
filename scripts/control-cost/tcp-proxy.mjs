import { connect, createServer } from 'node:net'

/** Forwards TCP connections to loopback addresses and counts the bytes of both directions. */
export class TcpProxies {
  bytes = 0
  #servers = []
  #sockets = new Set()

  /** Listens on a free port and forwards to `target.url`, which may be set later; returns the URL to use in its place. */
  async listenFor (target) {
    const server = createServer((socket) => {
      const { port } = new URL(target.url)
      const upstream = connect(Number(port), '127.0.0.1')
      for (const connection of [socket, upstream]) {
        this.#sockets.add(connection)
        connection.on('data', (chunk) => { this.bytes += chunk.length })
        connection.on('error', () => {})
        connection.once('close', () => {
          this.#sockets.delete(connection)
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
