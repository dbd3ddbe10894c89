/** The handlers of a host's listeners, built with h3. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import type { Clock, Registry } from '@figloom/runtime'
import { createApp, defineEventHandler, setResponseStatus, setResponseHeader, toNodeListener } from 'h3'
import { MAX_MESSAGE_BYTES, registerPeerService, type PeerHandler } from '../members/peer-service.js'
import type { RequestHandler } from './http-server.js'
import { discardRest } from './read-body.js'

/** Passes every request to `serve`, which writes the answer itself. */
export function createCallerHandler (serve: (request: IncomingMessage, response: ServerResponse) => Promise<void>): RequestHandler {
  const app = createApp()
  app.use(defineEventHandler(async (event) => {
    await serve(event.node.req, event.node.res)
    event._handled = true
  }))
  return toNodeListener(app)
}

/** Answers one fixed path, and 404 for all others. */
export function createPathHandler (path: string, clock: Clock, answer: (request: IncomingMessage) => PathAnswer): RequestHandler {
  const app = createApp()
  app.use(defineEventHandler((event) => {
    discardRest(event.node.req, clock)
    const requested = (event.node.req.url ?? '').split('?')[0]
    if (requested !== path) {
      setResponseStatus(event, 404)
      return ''
    }
    const { status, body, contentType } = answer(event.node.req)
    setResponseStatus(event, status)
    setResponseHeader(event, 'Content-Type', contentType)
    return body
  }))
  return toNodeListener(app)
}

/** What a fixed path answers. */
export type PathAnswer = { status: number, body: string, contentType: string }

/** The hosts' own protocol and the metrics page. */
export function createPeerHandler (handler: PeerHandler, registry: Registry): RequestHandler {
  const peers = connectNodeAdapter({ acceptCompression: [], readMaxBytes: MAX_MESSAGE_BYTES, routes: (router) => registerPeerService(router, handler) })
  const metrics = createApp()
  metrics.use('/metrics', defineEventHandler(async (event) => {
    setResponseHeader(event, 'Content-Type', registry.contentType)
    return await registry.metrics()
  }))
  const metricsListener = toNodeListener(metrics)
  return (request, response) => {
    if (request.url === '/metrics') metricsListener(request, response)
    else peers(request, response)
  }
}
