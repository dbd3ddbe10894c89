// Guards against requests that are read while the process ends, and cut without an answer.
import t from 'tap'
import { OpenRequests } from './open-requests.js'

t.test('all requests are ended, but for those that have had their answers', (t) => {
  const requests = OpenRequests.create()
  const ended: string[] = []
  requests.add(() => ended.push('open'))
  requests.add(() => ended.push('answered'))()
  t.equal(requests.endAll(), 1)
  t.same(ended, ['open'])
  t.end()
})

t.test('a request whose body was read to its end behind that is ended at once', (t) => {
  const requests = OpenRequests.create()
  const ended: string[] = []
  requests.endAll()
  requests.add(() => ended.push('late'))
  t.same(ended, ['late'])
  t.end()
})
