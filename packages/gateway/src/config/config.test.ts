import t from 'tap'
import { createRoute } from '../testing/gateway-fixture.js'
import { ConfigState } from './config-state.js'
import { RouteTable } from './route-table.js'
import type { GatewayConfig } from './types.js'

function config (version: number): GatewayConfig {
  return { version, routes: [], services: new Map(), limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
}

t.test('the longest prefix wins', async (t) => {
  const table = RouteTable.create([createRoute({ name: 'short', pathPrefix: '/a/' }), createRoute({ name: 'long', pathPrefix: '/a/b/' })])
  t.equal(table.find('test', '/a/b/c')?.name, 'long')
  t.equal(table.find('test', '/a/c')?.name, 'short')
  t.equal(table.find('test', '/ab/c'), undefined)
})

t.test('a route matches the host without its port and in any case, and the path without the query', async (t) => {
  const table = RouteTable.create([createRoute({ name: 'r', pathPrefix: '/a/' })])
  t.equal(table.find('TEST:8080', '/a/?q=/x/y')?.name, 'r')
  t.equal(table.find('other', '/a/'), undefined)
  t.equal(table.find('test', '/?q=/a/'), undefined)
})

t.test('a configuration that is not newer is never put into force', async (t) => {
  const state = ConfigState.create()
  t.ok(state.adopt(config(7)))
  t.notOk(state.adopt(config(6)))
  t.notOk(state.adopt(config(7)))
  t.equal(state.version, 7)
})
