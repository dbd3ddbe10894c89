/** Compares a whole session of a cell with a golden file: the records in the stream and the resulting views. */
import t from 'tap'
import { readFileSync } from 'node:fs'
import { OrderAction } from '@figloom/tables'
import { cellStreamOf } from './holder-options.js'
import { createCellBench, modelOf, stepOf, type CellBench } from './testing/cell-bench.js'

const GOLDEN = new URL('../../src/cell/testing/session.golden.json', import.meta.url)

/** Runs a load, a lost unload, a takeover from a frozen holder, a log outage and an engine restart. */
async function runSession (bench: CellBench): Promise<void> {
  await bench.advance(2_000)
  bench.planner.steps = [stepOf(OrderAction.Load, 'r1', 'm'), stepOf(OrderAction.Load, 'r2', 'm')]
  await bench.advance(6_000)
  bench.engines.fail('r1', { kind: 'lose' })
  bench.planner.steps = [stepOf(OrderAction.Unload, 'r1', 'm')]
  await bench.advance(1_000)
  bench.planner.steps = []
  const former = bench.holder()
  former.gate.freeze()
  await bench.advance(20_000)
  former.gate.thaw()
  bench.log.faults.down = true
  await bench.advance(10_000)
  bench.log.faults.down = false
  bench.engines.get('r2').replaceProcess()
  await bench.advance(15_000)
}

async function readSession (): Promise<unknown> {
  const bench = createCellBench({
    hosts: ['host-a', 'host-b'],
    runners: [{ name: 'r1' }, { name: 'r2', checksFencing: false }],
    models: [modelOf('m')]
  })
  await runSession(bench)
  const page = await bench.log.read(cellStreamOf('drafting'), { from: 1 })
  const records = page._unsafeUnwrap().records
  const views = bench.hosts.map(({ name, holder }) => ({ host: name, view: holder.view }))
  await bench.stop()
  return JSON.parse(JSON.stringify({ records, views }))
}

t.test('session produces the recorded stream and views', async (t) => {
  const session = await readSession()
  t.same(session, JSON.parse(readFileSync(GOLDEN, 'utf8')))
})
