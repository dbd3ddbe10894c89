/** The handlers of a host's listeners, built with h3. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock, Registry } from '@figloom/runtime'
import { createApp, defineEventHandler, setResponseStatus, setResponseHeader, toNodeListener } from 'h3'
import { createPeerListener, type PeerListenerOptions } from '../members/peer-listener.js'
import type { RequestHandler } from './http-server.js'
import { createMetricsHandler } from './metrics-handler.js'
import { discardRest } from './read-body.js'

/** Passes every request to `serve`, which writes the answer. */
export function createCallerHandler (serve: (request: IncomingMessage, response: ServerResponse) => Promise<void>): RequestHandler {
  const app = createApp()
  app.use(defineEventHandler(async (event) => {
    await serve(event.node.req, event.node.res)
    event._handled = true
  }))
  return toNodeListener(app)
}

/** Answers requests for one fixed path, and all others with 404. */
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

/** The answer for a fixed path. */
export type PathAnswer = { status: number, body: string, contentType: string }

export type PeerListenerParts = PeerListenerOptions & { registry: Registry }

/** Serves the protocol between hosts, and the metrics. */
export function createPeerHandler ({ registry, ...options }: PeerListenerParts): RequestHandler {
  const peerListener = createPeerListener(options)
  const metricsListener = createMetricsHandler({ clock: options.clock, memory: options.memory.messages, registry })
  return (request, response) => {
    if (request.url === '/metrics') metricsListener(request, response)
    else if (hasReadableAddress(request)) peerListener(request, response)
    else response.writeHead(400, { Connection: 'close' }).end()
  }
}

/** The library for calls between hosts forms the address of a request, and throws if it can't. */
function hasReadableAddress ({ url = '', headers }: IncomingMessage): boolean {
  return headers.host !== undefined && URL.canParse(url, `http://${headers.host}`)
}
