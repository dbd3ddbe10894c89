/** Serves the protocol between hosts. The messages of all hosts are read within one budget. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Code, ConnectError, createConnectRouter, createContextValues } from '@connectrpc/connect'
import { universalRequestFromNodeRequest, universalResponseToNodeResponse } from '@connectrpc/connect-node'
import type { Clock, Logger } from '@figloom/runtime'
import { onceOver } from '../front/answer-over.js'
import { discardRest } from '../front/read-body.js'
import type { RequestHandler } from '../front/http-server.js'
import type { ByteHold } from '../memory/byte-budget.js'
import type { MemoryBudgets } from '../memory/memory-budgets.js'
import { EnvelopeCollector, MessageReader, PlainCollector, Reading } from './message-reader.js'
import { HAS_ROOM, MAX_MESSAGE_BYTES, registerPeerService, type PeerHandler } from './peer-service.js'

/** An envelope without content stands for a message that isn't read. */
const EMPTY_ENVELOPE = Buffer.alloc(5)

export type PeerListenerOptions = {
  handler: PeerHandler
  /** Limits what is kept of the messages of all hosts: of requests that are passed on, and of all others. */
  memory: Pick<MemoryBudgets, 'hop' | 'messages'>
  clock: Clock
  log: Logger
}

type Call = ReturnType<typeof createConnectRouter>['handlers'][number]

export function createPeerListener ({ handler, memory, clock, log }: PeerListenerOptions): RequestHandler {
  const router = createConnectRouter({ acceptCompression: [], readMaxBytes: MAX_MESSAGE_BYTES, grpc: false, grpcWeb: false })
  registerPeerService(router, handler)
  const calls = new Map(router.handlers.map((call) => [call.requestPath, call]))
  return (request, response) => {
    const call = calls.get(request.url ?? '')
    if (call === undefined) return answerEmpty(404, request, response, clock)
    if (request.headers['content-type'] !== contentTypeOf(call)) return answerEmpty(415, request, response, clock)
    const reader = MessageReader.create(request)
    const hold = (isStream(call) ? memory.hop : memory.messages).open(request.socket.remoteAddress ?? '', () => reader.giveUp())
    onceOver(response, () => hold.close())
    serve(call, request, response, { reader, hold, clock }).catch((error: Error) => {
      log.debug('call of another host not answered', { path: request.url, reason: error.message })
      response.destroy()
    })
  }
}

/** Hosts send binary messages alone; decoded text weighs many times its bytes. */
function contentTypeOf (call: Call): string {
  return isStream(call) ? 'application/connect+proto' : 'application/proto'
}

function isStream ({ method }: Call): boolean {
  return method.methodKind === 'server_streaming'
}

type ServeOptions = { reader: MessageReader, hold: ByteHold, clock: Clock }

async function serve (call: Call, request: IncomingMessage, response: ServerResponse, { reader, hold, clock }: ServeOptions): Promise<void> {
  const reading = await reader.read(isStream(call) ? EnvelopeCollector.create(hold, MAX_MESSAGE_BYTES) : PlainCollector.create(hold, MAX_MESSAGE_BYTES))
  const isRefused = isStream(call) && reading === Reading.NoRoom
  if (reading === Reading.Whole) hold.fix()
  else hold.close()
  // The other host gets the refusal, and not a broken connection, once it has written its message.
  if (isRefused) request.resume()
  else if (reading !== Reading.Whole) discardRest(request, clock)
  const values = createContextValues().set(HAS_ROOM, !isRefused)
  const incoming = universalRequestFromNodeRequest(request, response, undefined, values)
  const body = isRefused ? piecesOf([EMPTY_ENVELOPE]) : reading === Reading.Whole ? piecesOf(reader.takeContent()) : failingBody(reading)
  await universalResponseToNodeResponse(await call({ ...incoming, body }), response)
}

/** Keeps no piece that was handed out: the decoder makes a copy, which stays with the request. */
async function * piecesOf (pieces: Buffer[]): AsyncGenerator<Uint8Array> {
  for (let piece = pieces.shift(); piece !== undefined; piece = pieces.shift()) yield piece
}

async function * failingBody (reading: Reading): AsyncGenerator<Uint8Array> {
  throw new ConnectError(`message not read: ${reading}`, Code.ResourceExhausted)
}

function answerEmpty (status: number, request: IncomingMessage, response: ServerResponse, clock: Clock): void {
  discardRest(request, clock)
  response.writeHead(status).end()
}
