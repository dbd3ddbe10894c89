import { createApp, createRouter, eventHandler, getQuery, getRouterParam, type App, type H3Event } from 'h3'
import type { Clock } from '@figloom/runtime'
import { engineOrderSchema } from '@figloom/clients'
import { z } from 'zod'
import { readValidatedJson, resetConnection, sendJson } from '../http/request-helpers.js'
import { createFaultsHandler } from '../http/faults-handler.js'
import { ChatAnswer, consumeAnswerFaults, sendCanceled, sendNotResident } from './chat-answer.js'
import { chatRequestSchema, toGenerateRequest } from './chat-request.js'
import type { EngineCore } from './engine-core.js'

const restartSchema = z.strictObject({ instance: z.string().min(1).optional() })

/** Creates the HTTP interface of a simulated engine: chat completions, orders, reports, cache events and faults. */
export function createEngineApp (engine: EngineCore, clock: Clock): App {
  const router = createRouter()
  router.post('/v1/chat/completions', eventHandler((event) => complete(engine, clock, event)))
  router.delete('/v1/attempts/:id', eventHandler(async (event) => {
    const outcome = await engine.cancel(getRouterParam(event, 'id', { decode: true }) ?? '')
    sendOrReset(event, outcome === undefined ? undefined : { outcome })
  }))
  router.post('/orders', eventHandler(async (event) => {
    const order = await readValidatedJson(event, engineOrderSchema)
    if (order !== undefined) sendOrReset(event, await engine.order(order))
  }))
  router.get('/report', eventHandler(async (event) => sendOrReset(event, await engine.report())))
  router.get('/cache-events', eventHandler(async (event) => sendOrReset(event, await engine.cacheEvents(Number(getQuery(event)['from'] ?? 1)))))
  router.post('/faults', createFaultsHandler(engine.faults, (faults) => engine.setFaults(faults)))
  router.post('/restart', eventHandler(async (event) => {
    const request = await readValidatedJson(event, restartSchema)
    if (request === undefined) return
    engine.restart(request.instance)
    sendJson(event, 200, { instance: engine.config.instance })
  }))
  router.get('/stats', eventHandler((event) => sendJson(event, 200, engine.stats())))
  return createApp().use(router)
}

async function complete (engine: EngineCore, clock: Clock, event: H3Event): Promise<void> {
  if (engine.faults.down || engine.consumeFault('resetBeforeRead')) return resetConnection(event)
  const chat = await readValidatedJson(event, chatRequestSchema)
  if (chat === undefined) return
  const request = toGenerateRequest(event, chat)
  const faults = consumeAnswerFaults(engine, request)
  const schedule = (callback: () => void) => {
    if (faults.delayMs > 0) clock.setTimer(faults.delayMs, callback)
    else callback()
  }
  const answer = ChatAnswer.create(event, request, chat.stream === true, faults, schedule)
  const closed = new Promise<void>((resolve) => event.node.res.once('close', resolve))
  const submitted = await engine.generate(request, answer)
  if (submitted === 'not-resident') return sendNotResident(event)
  if (submitted === 'canceled') return sendCanceled(event)
  await closed
  if (!event.node.res.writableFinished) await engine.cancel(request.attemptId)
}

function sendOrReset (event: H3Event, answer: unknown): void {
  if (answer === undefined) return resetConnection(event)
  sendJson(event, 200, answer)
}
