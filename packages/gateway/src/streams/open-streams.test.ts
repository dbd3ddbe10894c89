// Guards against streams in progress of which the planner of loads knows nothing, or which it counts after they have ended.
import t from 'tap'
import { OpenStreams } from './open-streams.js'

const any = () => true

t.test('streams are counted by model and version until they end', async (t) => {
  const streams = OpenStreams.create()
  const remove = streams.add('s', 'a', 'v1')
  streams.add('s', 'a', 'v1')
  streams.add('s', 'a', 'v2')
  t.same(streams.counts(any).map(({ softwareVersion, openStreams }) => [softwareVersion, openStreams]), [['v1', 2], ['v2', 1]])
  remove()
  t.same(streams.counts(any).map(({ softwareVersion, openStreams }) => [softwareVersion, openStreams]), [['v1', 1], ['v2', 1]])
  t.same(streams.counts((service) => service !== 's'), [])
})

t.test('a version without streams is not reported', async (t) => {
  const streams = OpenStreams.create()
  streams.add('s', 'a', 'v1')()
  t.same(streams.counts(any), [])
})

t.test('the models with most streams are reported', async (t) => {
  const streams = OpenStreams.create()
  for (let index = 0; index < 50; index += 1) streams.add('s', `m-${index}`, 'v1')
  streams.add('s', 'm-49', 'v1')
  const counts = streams.counts(any)
  t.equal(counts.length, 32)
  t.match(counts[0], { model: 'm-49', openStreams: 2 })
})
