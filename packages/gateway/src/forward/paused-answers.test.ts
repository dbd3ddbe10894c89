/** Guards against unexpected errors, and answers without an end, where a runner ends its connection while its answer is paused. */
import { SystemClock } from '@figloom/runtime'
import t, { type Test } from 'tap'
import { RawRunner } from '../testing/raw-runner.js'
import { AttemptObserver, Flow } from './attempt.js'
import { DirectAttempt } from './direct-attempt.js'
import { RunnerConnections } from './runner-connections.js'

const BODY = 'x'.repeat(1_000)
const WITHIN_MS = 1_000
const PAUSE_MS = 100

/** Pauses at each chunk, as for a caller that reads slowly. */
class PausingObserver extends AttemptObserver {
  readonly events: string[] = []
  bytes = 0

  override beforeWrite (): boolean {
    return true
  }

  override onHead (status: number): Flow {
    this.events.push(`head ${status}`)
    return Flow.Continue
  }

  override onData ({ length }: Buffer): Flow {
    this.bytes += length
    return Flow.Pause
  }

  override onEnd (): void {
    this.events.push('end')
  }

  override onFailure (): void {
    this.events.push('failure')
  }
}

type Ending = 'in order' | 'by reset'

async function receive (t: Test, headers: string, ending: Ending): Promise<{ observer: PausingObserver, errors: string[] }> {
  const errors: string[] = []
  const onError = (error: Error) => { errors.push(error.message) }
  process.prependListener('uncaughtException', onError)
  const runner = await RawRunner.create(({ requestId, socket }) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\n${headers}\r\n${BODY}`)
    setTimeout(() => ending === 'in order' ? socket.end() : socket.resetAndDestroy(), PAUSE_MS)
  })
  const connections = RunnerConnections.create(() => {})
  t.teardown(async () => {
    process.off('uncaughtException', onError)
    await connections.destroy()
    await runner.close()
  })
  const observer = new PausingObserver()
  const dispatcher = connections.dispatcherFor('runner-1', runner.address)._unsafeUnwrap()
  const attempt = DirectAttempt.start(dispatcher, { id: 'request-1', method: 'GET', target: '/', headers: ['request-id', 'request-1'], body: undefined }, observer, SystemClock.create())
  await new Promise((resolve) => setTimeout(resolve, 2 * PAUSE_MS))
  attempt.resume()
  const endMs = performance.now() + WITHIN_MS
  while (observer.events.length < 2 && performance.now() < endMs) await new Promise((resolve) => setTimeout(resolve, 5))
  return { observer, errors }
}

for (const [name, headers, ending, last] of [
  ['with neither length nor chunks is whole when its connection ends', '', 'in order', 'end'],
  ['with neither length nor chunks fails when its connection is reset', '', 'by reset', 'failure'],
  ['with a length that it does not reach fails when its connection ends', 'Connection: close\r\nContent-Length: 2000\r\n', 'in order', 'failure'],
  ['with a length that it does not reach fails when its connection is reset', 'Connection: close\r\nContent-Length: 2000\r\n', 'by reset', 'failure'],
  ['with a length on a connection that stays open fails when it ends', 'Content-Length: 2000\r\n', 'in order', 'failure']
] as const) {
  t.test(`a paused answer ${name}`, async (t) => {
    const { observer, errors } = await receive(t, headers, ending)
    t.same(errors, [])
    t.same(observer.events, ['head 200', last])
    t.equal(observer.bytes, BODY.length)
  })
}
