/** Guards against a stream that is broken off because its sound runner was silent for a while and another runner could not take it. */
import { setTimeout as sleep } from 'node:timers/promises'
import { connect } from 'node:net'
import t, { type Test } from 'tap'
import { RouteKind } from '../config/types.js'
import { waitUntil } from '../testing/delayed-connections.js'
import { createEntry, createRoute, GatewayFixture, type RawAnswer } from '../testing/gateway-fixture.js'
import type { RawExchange, RawRunner } from '../testing/raw-runner.js'

const resumable = createRoute({ pathPrefix: '/resume/', kind: RouteKind.Stream, resumable: true })
const brief = createRoute({ pathPrefix: '/brief/', kind: RouteKind.Stream, resumable: true, timeoutMs: 1_500 })
const thrice = createRoute({ pathPrefix: '/thrice/', kind: RouteKind.Stream, resumable: true, maxAttempts: 3 })
const SILENT_MS = 1_400
const WHOLE = [0, 1, 2, 3, 4]

type Answer = (exchange: RawExchange) => void

function writeHead ({ requestId, socket }: RawExchange, signature: string): void {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: ${signature}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`)
}

function writeEvents ({ socket }: RawExchange, from: number, to: number): void {
  for (let id = from; id <= to; id += 1) {
    const text = `id: ${id}\ndata: x\n\n`
    socket.write(`${text.length.toString(16)}\r\n${text}\r\n`)
  }
}

function writeEnd ({ socket }: RawExchange): void {
  socket.write('0\r\n\r\n')
}

function idsOf (text: string): number[] {
  return [...text.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]))
}

function begin (exchange: RawExchange): void {
  writeHead(exchange, 'first')
  writeEvents(exchange, 0, 1)
}

/** Goes on to the end after the silence. */
function pause (exchange: RawExchange): void {
  begin(exchange)
  setTimeout(() => {
    writeEvents(exchange, 2, 4)
    writeEnd(exchange)
  }, SILENT_MS)
}

/** Serves the rest of the stream. */
function takeOver (exchange: RawExchange): void {
  writeHead(exchange, 'second')
  writeEvents(exchange, Number(/last-event-id: (\d+)/i.exec(exchange.text)?.[1]) + 1, 4)
  writeEnd(exchange)
}

function refuse ({ requestId, socket }: RawExchange): void {
  socket.write(`HTTP/1.1 503 Full\r\nRequest-Id: ${requestId}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`)
}

function neverAnswer (): void {}

class Scene {
  readonly closes: string[] = []
  readonly closedAtMs = new Map<string, number>()
  first: RawRunner | undefined
  second: RawRunner | undefined

  private constructor (readonly fixture: GatewayFixture, private readonly secondAnswer: Answer) {}

  /** The second runner is listed when the stream has begun at the first one. */
  static async create (t: Test, firstAnswer: Answer, secondAnswer: Answer = neverAnswer): Promise<Scene> {
    const fixture = await GatewayFixture.create([resumable, brief, thrice])
    t.teardown(() => fixture.close())
    const scene = new Scene(fixture, secondAnswer)
    scene.first = await fixture.addRunner('runner-1', (exchange) => {
      scene.#noteClose('runner-1', exchange)
      firstAnswer(exchange)
      scene.#addSecond().catch((error: Error) => t.fail(error.message))
    })
    return scene
  }

  call (path = '/resume/1', headers: string[] = []): Promise<RawAnswer> {
    return this.fixture.call({ method: 'POST', path, headers })
  }

  /** Requests in progress at both runners. */
  get inFlight (): number[] {
    return ['runner-1', 'runner-2'].map((id) => this.fixture.context.runners.get(id)?.inFlight ?? 0)
  }

  get secondCount (): number {
    return this.second?.requests.length ?? 0
  }

  async #addSecond (): Promise<void> {
    this.second ??= await this.fixture.addRunner('runner-2', (exchange) => {
      this.#noteClose('runner-2', exchange)
      this.secondAnswer(exchange)
    })
  }

  #noteClose (id: string, { socket }: RawExchange): void {
    socket.on('close', () => {
      this.closes.push(id)
      this.closedAtMs.set(id, performance.now())
    })
  }
}

for (const [name, second] of [['refuses', refuse], ['never answers', neverAnswer]] as const) {
  t.test(`a stream whose runner is silent for a while is whole where the other runner ${name}`, async (t) => {
    const scene = await Scene.create(t, pause, second)
    const { text, status } = await scene.call()
    t.equal(status, 200)
    t.same(idsOf(text), WHOLE)
    t.match(text, /\r\n0\r\n\r\n$/)
    t.equal(scene.secondCount, 1)
    t.same(scene.inFlight, [0, 0])
  })
}

t.test('a stream whose runner is silent for a while is whole where the other runner accepts no connection', async (t) => {
  const fixture = await GatewayFixture.create([resumable])
  t.teardown(() => fixture.close())
  await fixture.addRunner('runner-1', (exchange) => {
    pause(exchange)
    fixture.context.runners.upsert(createEntry({ id: 'runner-2', address: '127.0.0.1:1' }))
  })
  const { text } = await fixture.call({ method: 'POST', path: '/resume/1' })
  t.same(idsOf(text), WHOLE)
  t.match(text, /\r\n0\r\n\r\n$/)
  t.equal(fixture.context.runners.get('runner-2')?.inFlight, 0)
})

for (const [name, second] of [
  ['resets', ({ socket }: RawExchange) => { socket.resetAndDestroy() }],
  ['fails', ({ requestId, socket }: RawExchange) => { socket.write(`HTTP/1.1 500 Failed\r\nRequest-Id: ${requestId}\r\nSigned: second\r\nContent-Length: 1\r\n\r\nx`) }],
  ['answers without a signature', ({ requestId, socket }: RawExchange) => { socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 2\ndata: y\n\n`) }],
  ['answers another request', (exchange: RawExchange) => { takeOver({ ...exchange, requestId: 'other' }) }],
  ['answers no stream', ({ requestId, socket }: RawExchange) => { socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: second\r\nContent-Length: 1\r\n\r\nx`) }]
] as const) {
  t.test(`a silent stream stays where the other runner ${name}`, async (t) => {
    const scene = await Scene.create(t, pause, second)
    const { text } = await scene.call()
    t.same(idsOf(text), WHOLE)
    t.notMatch(text, /data: y|second/)
    t.equal(scene.secondCount, 1)
    t.same(scene.inFlight, [0, 0])
  })
}

t.test('a silent runner is left at the moment at which the other one begins', async (t) => {
  let headAtMs = 0
  const scene = await Scene.create(t, begin, (exchange) => {
    setTimeout(() => {
      headAtMs = performance.now()
      takeOver(exchange)
    }, 300)
  })
  const { text } = await scene.call()
  t.same(idsOf(text), WHOLE)
  await sleep(50)
  const closedMs = (scene.closedAtMs.get('runner-1') ?? 0) - headAtMs
  t.ok(closedMs >= 0 && closedMs < 200, `the first runner sees the close ${closedMs} ms after the head of the second one`)
  t.same(scene.inFlight, [0, 0])
})

t.test('the other runner is left at once when the silent one goes on, and no event comes twice', async (t) => {
  let eventAtMs = 0
  const scene = await Scene.create(t, (exchange) => {
    begin(exchange)
    setTimeout(() => {
      eventAtMs = performance.now()
      writeEvents(exchange, 2, 2)
    }, SILENT_MS)
    setTimeout(() => {
      writeEvents(exchange, 3, 4)
      writeEnd(exchange)
    }, SILENT_MS + 300)
  }, (exchange) => { setTimeout(() => takeOver(exchange), 350) })
  const { text } = await scene.call()
  t.same(idsOf(text), WHOLE)
  t.ok((scene.closedAtMs.get('runner-2') ?? Infinity) - eventAtMs < 200)
  t.same(scene.inFlight, [0, 0])
})

t.test('a stream goes on at the other runner when the silent one breaks', async (t) => {
  const scene = await Scene.create(t, (exchange) => {
    begin(exchange)
    setTimeout(() => exchange.socket.resetAndDestroy(), SILENT_MS)
  }, (exchange) => { setTimeout(() => takeOver(exchange), 400) })
  const { text } = await scene.call()
  t.same(idsOf(text), WHOLE)
  t.equal(scene.secondCount, 1)
  t.same(scene.inFlight, [0, 0])
})

t.test('a stream that ends at its silent runner is taken back from the other one', async (t) => {
  const scene: Scene = await Scene.create(t, (exchange) => {
    begin(exchange)
    waitUntil(() => scene.secondCount === 1).then(() => writeEnd(exchange), (error: Error) => t.fail(error.message))
  })
  const { text } = await scene.call()
  t.same(idsOf(text), [0, 1])
  t.match(text, /\r\n0\r\n\r\n$/)
  const endedMs = performance.now()
  await waitUntil(() => scene.closes.includes('runner-2'))
  t.ok(performance.now() - endedMs < 500)
  t.same(scene.inFlight, [0, 0])
})

t.test('a caller that leaves while a stream moves ends the request at both runners', async (t) => {
  const scene = await Scene.create(t, begin)
  const caller = connect(scene.fixture.port, '127.0.0.1')
  caller.on('error', () => {})
  caller.write('POST /resume/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: gone\r\nContent-Length: 0\r\n\r\n')
  await sleep(SILENT_MS)
  t.same(scene.inFlight, [1, 1])
  caller.destroy()
  await sleep(100)
  t.same(scene.closes.sort(), ['runner-1', 'runner-2'])
  t.same(scene.inFlight, [0, 0])
})

t.test('the timeout ends a stream that moves at both runners', async (t) => {
  const scene = await Scene.create(t, begin)
  const { text } = await scene.call('/brief/1')
  t.same(idsOf(text), [0, 1])
  t.notMatch(text, /\r\n0\r\n\r\n$/)
  await sleep(50)
  t.same(scene.closes.sort(), ['runner-1', 'runner-2'])
  t.same(scene.inFlight, [0, 0])
})

t.test('a stream is taken back from the other runner when a part of its prompt is blocked', async (t) => {
  const scene = await Scene.create(t, pause)
  const blockedMs = SILENT_MS - 100
  let secondAtBlock: number[] = []
  setTimeout(() => {
    const block = { featureId: 'deadly', blocked: true, revision: 1, sinceAgoMs: 0, trials: 0, reason: 'a test' }
    scene.fixture.context.crashes.receive('host-2', { to: { listId: 'list', version: 1 }, ends: [], begun: [], blocks: [block] })
    secondAtBlock = scene.inFlight
  }, blockedMs)
  const { text } = await scene.call('/resume/1', ['Prompt-Parts: deadly,own'])
  t.same(idsOf(text), WHOLE)
  t.same(secondAtBlock, [1, 0])
  t.equal(scene.secondCount, 1)
})

t.test('a move that was refused is tried again at another runner within the attempts of the route', async (t) => {
  const scene = await Scene.create(t, begin, refuse)
  setTimeout(() => { scene.fixture.addRunner('runner-3', takeOver).catch((error: Error) => t.fail(error.message)) }, SILENT_MS)
  const { text } = await scene.call('/thrice/1')
  t.same(idsOf(text), WHOLE)
  t.equal(scene.secondCount, 1)
})

t.test('a stream that was at two runners is not sent to a third one beyond the attempts of its route', async (t) => {
  const scene = await Scene.create(t, (exchange) => {
    begin(exchange)
    setTimeout(() => writeEvents(exchange, 2, 2), SILENT_MS)
    setTimeout(() => {
      writeEvents(exchange, 3, 4)
      writeEnd(exchange)
    }, SILENT_MS + 1_500)
  })
  const { text } = await scene.call()
  t.same(idsOf(text), WHOLE)
  t.equal(scene.secondCount, 1)
})

t.test('a stream whose silent runner leaves the list is whole when the runner goes on', async (t) => {
  const scene = await Scene.create(t, pause, refuse)
  setTimeout(() => scene.fixture.context.connections.retain(new Set()), 500)
  const { text } = await scene.call()
  t.same(idsOf(text), WHOLE)
})

t.test('an answer that is no stream is whole although its runner was silent within it', async (t) => {
  const fixture = await GatewayFixture.create([createRoute({ pathPrefix: '/plain/' })])
  t.teardown(() => fixture.close())
  const runner = await fixture.addRunner('runner-1', ({ requestId, socket }) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSigned: first\r\nContent-Length: 4\r\n\r\nab`)
    setTimeout(() => socket.write('cd'), 2_500)
  })
  const { body } = await fixture.call({ path: '/plain/1' })
  t.equal(body, 'abcd')
  t.equal(runner.requests.length, 1)
})

t.test('a stream whose runner is dead goes on at the third runner soon after the second one refuses', async (t) => {
  const scene = await Scene.create(t, begin, (exchange) => { setTimeout(() => refuse(exchange), 100) })
  const calledMs = performance.now()
  const call = scene.call('/thrice/1')
  while (scene.secondCount === 0) await sleep(5)
  const third = await scene.fixture.addRunner('runner-3', takeOver)
  const answer = await call
  t.same(idsOf(answer.text), WHOLE)
  t.equal(third.requests.length, 1)
  t.ok(performance.now() - calledMs < 2_200, 'within one stall')
})
