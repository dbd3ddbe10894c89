// Guards against requests that come again and aren't recognized, and against different ones that are taken for the same.
import t from 'tap'
import { isRequestKey, requestKeyOf } from './request-key.js'

const body = (text: string) => Buffer.from(text)

t.test('the same method, path, query and body have the same key, wherever they are read', async (t) => {
  const key = requestKeyOf({ method: 'POST', target: '/a/b?c=1', body: body('text') })
  t.equal(requestKeyOf({ method: 'POST', target: '/a/b?c=1', body: Buffer.concat([body('te'), body('xt')]) }), key)
  t.match(key, /^request-[0-9a-f]{24}$/)
  t.ok(isRequestKey(key))
})

t.test('a request without a body has a key of its own', async (t) => {
  const key = requestKeyOf({ method: 'GET', target: '/a', body: undefined })
  t.equal(requestKeyOf({ method: 'GET', target: '/a', body: Buffer.alloc(0) }), key)
  t.not(requestKeyOf({ method: 'GET', target: '/b', body: undefined }), key)
})

t.test('method, path, query and body all count', async (t) => {
  const contents = [
    { method: 'POST', target: '/a', body: body('x') },
    { method: 'PUT', target: '/a', body: body('x') },
    { method: 'POST', target: '/a?q', body: body('x') },
    { method: 'POST', target: '/a', body: body('y') },
    { method: 'POST', target: '/ax', body: body('') }
  ]
  t.equal(new Set(contents.map(requestKeyOf)).size, contents.length)
})

t.test('ids of prompt parts are no request keys', async (t) => {
  t.notOk(isRequestKey('32a43aed6c9e'))
})
