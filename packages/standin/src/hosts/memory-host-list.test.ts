import t from 'tap'
import { ManualClock } from '@figloom/runtime'
import type { ListedHost } from '@figloom/clients'
import { MemoryHostList } from './memory-host-list.js'

const host: ListedHost = { name: 'a', url: 'http://127.0.0.1:1', innerUrl: 'http://127.0.0.1:2', availabilityZone: 'porto-a', state: 'live' }

t.test('changes become visible after lagMs', async (t) => {
  const clock = ManualClock.create()
  const list = MemoryHostList.create({ clock, hosts: [host], lagMs: 1_000 })
  list.setState('a', 'leaving')
  await clock.advance(999)
  t.match((await list.list())._unsafeUnwrap(), [{ state: 'live' }])
  await clock.advance(1)
  t.match((await list.list())._unsafeUnwrap(), [{ state: 'leaving' }])
  list.remove('a')
  t.equal((await list.list())._unsafeUnwrap().length, 1)
  await clock.advance(1_000)
  t.same((await list.list())._unsafeUnwrap(), [])
  t.notOk(list.setState('b', 'live'))
})

t.test('a list that is down answers nothing', async (t) => {
  const list = MemoryHostList.create({ clock: ManualClock.create() })
  list.faults.down = true
  t.ok((await list.list()).isErr())
})
