// Guards against a host that stops although it serves, by errors that concern few requests, and one that goes on without serving.
import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import t from 'tap'
import { ManualClock } from '@figloom/runtime'
import { ServingRecord } from './serving-record.js'

/** A request whose answer the test ends. */
function createResponse (): ServerResponse {
  return Object.assign(new EventEmitter(), { statusCode: 200, headersSent: false, req: { socket: new EventEmitter() } }) as unknown as ServerResponse
}

function answer (response: ServerResponse, statusCode: number): void {
  response.statusCode = statusCode
  response.emit('finish')
  response.emit('close')
}

t.test('a host without requests counts as serving', async (t) => {
  const clock = ManualClock.create()
  const record = ServingRecord.create(clock)
  await clock.advance(60_000)
  t.ok(record.isServing)
})

t.test('one answer among failed ones suffices', async (t) => {
  const clock = ManualClock.create()
  const record = ServingRecord.create(clock)
  for (let count = 0; count < 100; count += 1) {
    const response = createResponse()
    record.onRequest(response)
    answer(response, count % 10 === 0 ? 404 : 500)
    await clock.advance(200)
    t.ok(record.isServing)
  }
})

t.test('a host that fails or leaves all requests for five seconds does not serve, until one is answered', async (t) => {
  const clock = ManualClock.create()
  const record = ServingRecord.create(clock)
  const silent = createResponse()
  record.onRequest(silent)
  const failed = createResponse()
  record.onRequest(failed)
  answer(failed, 503)
  await clock.advance(4_999)
  t.ok(record.isServing)
  await clock.advance(1)
  t.notOk(record.isServing)
  answer(silent, 200)
  t.ok(record.isServing)
})

t.test('a stream in progress counts as served', async (t) => {
  const clock = ManualClock.create()
  const record = ServingRecord.create(clock)
  const stream = createResponse()
  record.onRequest(stream)
  await clock.advance(6_000)
  t.notOk(record.isServing)
  Object.assign(stream, { headersSent: true })
  t.ok(record.isServing)
})

t.test('a stream that waits behind another answer when its caller leaves no longer counts', async (t) => {
  const clock = ManualClock.create()
  const record = ServingRecord.create(clock)
  const stream = Object.assign(createResponse(), { headersSent: true })
  record.onRequest(stream)
  stream.req.socket.emit('close')
  await clock.advance(6_000)
  t.notOk(record.isServing)
})

t.test('requests of long ago say nothing', async (t) => {
  const clock = ManualClock.create()
  const record = ServingRecord.create(clock)
  const response = createResponse()
  record.onRequest(response)
  answer(response, 503)
  await clock.advance(11_000)
  t.ok(record.isServing)
})
