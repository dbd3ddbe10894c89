/** Serves the metrics. What its readers haven't taken is counted, and dropped after some seconds. */
import type { ServerResponse } from 'node:http'
import type { Clock, Registry } from '@figloom/runtime'
import type { ByteBudget } from '../memory/byte-budget.js'
import type { RequestHandler } from './http-server.js'
import { onceOver } from './answer-over.js'
import { discardRest } from './read-body.js'

const OWNER = 'metrics'
/** Collectors read at once; a reader that doesn't within this time is lost. */
const MAX_READ_MS = 5_000

export type MetricsHandlerOptions = {
  registry: Registry
  memory: ByteBudget
  clock: Clock
}

export function createMetricsHandler ({ registry, memory, clock }: MetricsHandlerOptions): RequestHandler {
  let rendering: Promise<Buffer> | undefined
  /** Readers that come at the same time share a text. */
  const render = (): Promise<Buffer> => {
    rendering ??= registry.metrics().then((text) => Buffer.from(text)).finally(() => { rendering = undefined })
    return rendering
  }
  return (request, response) => {
    discardRest(request, clock)
    const hold = memory.open(OWNER, () => response.destroy())
    const timer = clock.setTimer(MAX_READ_MS, () => response.destroy())
    onceOver(response, () => {
      timer.cancel()
      hold.close()
    })
    render().then((text) => {
      if (hold.take(text.length)) write(response, 200, registry.contentType, text)
      else write(response, 503, 'text/plain', Buffer.from('no memory is left\n'))
    }, () => response.destroy())
  }
}

function write (response: ServerResponse, status: number, contentType: string, body: Buffer): void {
  if (!response.destroyed) response.writeHead(status, { 'Content-Type': contentType, 'Content-Length': body.length }).end(body)
}
