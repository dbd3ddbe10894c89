/** Checks that the example files of both deployments are valid and have the intended sizes. */
import { fileURLToPath } from 'node:url'
import t from 'tap'
import { loadClientSettings, loadDaemonSettings } from '@figloom/settings'
import { checkTables, isModelRoute, planTransition, readSources, parseAndCheckTables, type PoolModel, type Tables } from '@figloom/tables'

const FOLDER = new URL('../../../../examples/', import.meta.url)

type Expected = { folder: string, region: string, zones: string[], models: number, adapters: number, loads: number, transit: number }

const DEPLOYMENTS: Expected[] = [
  { folder: 'cooperativa', region: 'pt-norte', zones: ['braga-c', 'porto-a', 'porto-b'], models: 34, adapters: 95, loads: 24, transit: 190 },
  { folder: 'franquicia', region: 'norte', zones: ['norte-a', 'norte-b', 'norte-c'], models: 21, adapters: 110, loads: 15, transit: 120 }
]

function pathOf (folder: string, file: string): string {
  return fileURLToPath(new URL(`${folder}/${file}`, FOLDER))
}

async function readTables (folder: string): Promise<Tables> {
  const sources = await readSources(['routes.toml', 'pools.toml'].map((file) => pathOf(folder, file)))
  return sources.andThen(parseAndCheckTables)._unsafeUnwrap().tables
}

/** Tables with an additional version of one model and its routes moved to that version. */
function withNextVersion (tables: Tables, { name }: PoolModel): Tables {
  const models = (list: PoolModel[]) => list.flatMap((model) => model.name === name ? [model, { ...model, version: '2' }] : [model])
  return {
    routes: tables.routes.map((route) => isModelRoute(route) && route.model === name ? { ...route, version: '2' } : route),
    pools: tables.pools.map((pool) => ({ ...pool, models: models(pool.models) }))
  }
}

for (const { folder, region, zones, models, adapters, loads, transit } of DEPLOYMENTS) {
  t.test(folder, async (t) => {
    const tables = await readTables(folder)
    const [service, assistant] = [...tables.pools].sort((a, b) => a.models.length - b.models.length)
    t.match([service?.runners.length, assistant?.runners.length, assistant?.models.length], [3, 13, models])
    t.equal(assistant?.models.flatMap((model) => model.adapters).length, adapters)
    t.equal(new Set(tables.routes.filter(isModelRoute).map(({ model }) => model)).size, models)
    const accelerators = (assistant?.runners ?? []).reduce((sum, runner) => sum + runner.accelerators, 0)
    t.ok(accelerators < models, `${accelerators} accelerators`)
    for (const pool of tables.pools) {
      t.same([...new Set(pool.runners.map(({ availabilityZone }) => availabilityZone))].sort(), zones)
      t.equal(pool.region, region)
    }
    t.ok(tables.routes.some((route) => route.kind === 'service' && !route.idempotent))
    const settings = (await loadDaemonSettings(pathOf(folder, 'figloomd.toml')))._unsafeUnwrap()
    t.match(settings, { host: { region, availabilityZone: zones.find((zone) => zone.endsWith('-a')) }, placement: { storeLoadsPerSecond: 2, storeConcurrentLoads: loads, adapterTransitLimit: transit } })
    t.ok((await loadClientSettings(pathOf(folder, 'figloom.toml'))).isOk())
  })

  t.test(`${folder}: each model can be moved to a new version within memory`, async (t) => {
    const tables = await readTables(folder)
    for (const pool of tables.pools) {
      for (const model of pool.models) {
        const next = withNextVersion(tables, model)
        t.same([...checkTables(next), ...planTransition(tables, next, new Set([pool.name])).issues], [], model.name)
      }
    }
  })
}
