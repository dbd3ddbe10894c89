/** Guards against a runner that sends as fast as it can and keeps the event loop from all other connections. */
import t, { type Test } from 'tap'
import type { Socket } from 'node:net'
import { Readable } from 'node:stream'
import { EndlessWriter } from '../testing/endless-writer.js'
import { RawRunner } from '../testing/raw-runner.js'
import { PacedReads } from './paced-reads.js'
import { RunnerConnections } from './runner-connections.js'

const PIECE = '9\r\ndata: x\n\n\r\n'
const PIECES = 50_000
const BODY_BYTES = 16_777_216
/** A few reads of tiny pieces, where a turn without a limit takes tens of thousands. */
const MAX_PIECES_PER_TURN = 1_000
const MAX_BYTES_PER_TURN = 524_288

type Received = { text: string, pieces: number, mostPieces: number }

async function receive (t: Test, answer: (socket: Socket) => void): Promise<Received> {
  const runner = await RawRunner.create(({ socket }) => answer(socket))
  const connections = RunnerConnections.create(() => {})
  t.teardown(async () => {
    await connections.destroy()
    await runner.close()
  })
  const received = { text: '', pieces: 0, mostPieces: 0 }
  const turn = { pieces: 0 }
  const chunks: Buffer[] = []
  const count = () => {
    if (turn.pieces === 0) setImmediate(() => { turn.pieces = 0 })
    turn.pieces += 1
    received.pieces += 1
    received.mostPieces = Math.max(received.mostPieces, turn.pieces)
  }
  const dispatcher = connections.dispatcherFor('runner', runner.address)._unsafeUnwrap()
  await new Promise<void>((resolve, reject) => {
    dispatcher.dispatch({ method: 'GET', path: '/', headers: ['request-id', 'request-1'] }, {
      onConnect: () => {},
      onHeaders: () => true,
      onData: (chunk) => {
        chunks.push(Buffer.from(chunk))
        count()
        return true
      },
      onComplete: () => resolve(),
      onError: reject
    })
  })
  return { ...received, text: Buffer.concat(chunks).toString('latin1') }
}

t.test('many tiny pieces are taken a few in a turn, and all arrive', async (t) => {
  const { text, pieces, mostPieces } = await receive(t, (socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${PIECE.repeat(PIECES)}0\r\n\r\n`)
  })
  t.equal(text, 'data: x\n\n'.repeat(PIECES))
  t.ok(pieces >= PIECES)
  t.ok(mostPieces <= MAX_PIECES_PER_TURN, `${mostPieces} pieces in one turn`)
})

t.test('what has arrived at once is handed over in several turns', async (t) => {
  const socket = new Readable({ read () {} })
  PacedReads.install(socket).onBody()
  const readTurn = () => {
    let bytes = 0
    for (let read = socket.read(); read !== null; read = socket.read()) bytes += read.length
    return bytes
  }
  for (let count = 0; count < 64; count += 1) socket.push(Buffer.alloc(65_536))
  let bytes = 0
  await new Promise<void>((resolve) => {
    socket.on('readable', () => {
      const turnBytes = readTurn()
      t.ok(turnBytes <= MAX_BYTES_PER_TURN)
      bytes += turnBytes
      if (bytes === 64 * 65_536) resolve()
    })
  })
})

t.test('all of a large body arrives', async (t) => {
  const body = 'abcdefgh'.repeat(BODY_BYTES / 8)
  for (const [head, ending] of [[`Content-Length: ${BODY_BYTES}`, ''], ['X: without a length', 'end']]) {
    const { text } = await receive(t, (socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${body}`)
      if (ending === 'end') socket.end()
    })
    t.ok(text === body)
  }
})

t.test('bytes behind a body of many pieces close the connection', async (t) => {
  let writer: EndlessWriter | undefined
  await receive(t, (socket) => {
    writer = EndlessWriter.start(socket, `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${PIECE.repeat(PIECES)}0\r\n\r\n`, 'x')
  })
  const endMs = performance.now() + 2_000
  while (writer?.closed === false && performance.now() < endMs) await new Promise((resolve) => setTimeout(resolve, 10))
  t.ok(writer?.closed)
})
