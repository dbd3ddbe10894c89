/** HTTP interface for operators and peers: metrics, health, and the inner protocol. */
import { connectNodeAdapter } from '@connectrpc/connect-node'
import type { ConnectRouter } from '@connectrpc/connect'
import { createApp, createRouter, eventHandler, toNodeListener, type H3Event } from 'h3'
import { createFailure, ResultCode, type Registry } from '@figloom/runtime'
import { formatFailure } from '../callers/failure-answer.js'
import type { ListenerHandler, ListenerRequest, ListenerResponse } from '../listener/http-listener.js'

export type OperatorsOptions = {
  registry: Registry
  /** Whether configuration is in force and the host is not leaving. */
  isReady: () => boolean
  registerInner: (router: ConnectRouter) => void
}

const INNER_PREFIX = '/figloom.inner.v1.InnerService/'

/** Creates the handler of the operators' listener. */
export function createOperatorsHandler (options: OperatorsOptions): ListenerHandler {
  const http = toNodeListener(createHttpApp(options)) as ListenerHandler
  const inner = connectNodeAdapter({ routes: options.registerInner }) as ListenerHandler
  return (request: ListenerRequest, response: ListenerResponse) => {
    if (request.url?.startsWith(INNER_PREFIX)) inner(request, response)
    else http(request, response)
  }
}

function createHttpApp ({ registry, isReady }: OperatorsOptions) {
  const router = createRouter()
  router.get('/metrics', eventHandler(async (event) => send(event, 200, registry.contentType, await registry.metrics())))
  router.get('/healthz', eventHandler((event) => send(event, 200, 'text/plain', 'ok\n')))
  router.get('/readyz', eventHandler((event) => {
    if (isReady()) send(event, 200, 'text/plain', 'ready\n')
    else sendFailure(event, createFailure(ResultCode.NotReady, 'no configuration is in force, or the host is shutting down'))
  }))
  const app = createApp()
  app.use(router.handler)
  app.use(eventHandler((event) => sendFailure(event, createFailure(ResultCode.NotFound, 'no such path'))))
  return app
}

function send (event: H3Event, status: number, contentType: string, body: string): void {
  event.node.res.writeHead(status, { 'content-type': contentType, 'content-length': Buffer.byteLength(body) })
  event.node.res.end(body)
}

function sendFailure (event: H3Event, failure: Parameters<typeof formatFailure>[0]): void {
  const { status, headers, body } = formatFailure(failure)
  event.node.res.writeHead(status, headers)
  event.node.res.end(body)
}
