import t from 'tap'
import { formatIssue } from '@figloom/settings'
import { parseAndCheckTables, parseTables, type TableSource } from './parse.js'

const ROUTES = `[[route]]
name = "tasting-notes"
model = "vinho-8b"
adapter = "douro"
version = "3"
pool = "drafting"
firstTokenTargetMs = 380
betweenTokensTargetMs = 43

[[route]]
name = "bookings"
service = "booking"
pool = "booking"
answerTargetMs = 500
`
const POOLS = `[[pool]]
name = "drafting"
region = "pt-norte"
moveWeight = 0.2
[[pool.runner]]
name = "drafting-01"
availabilityZone = "porto-a"
url = "http://127.0.0.1:7101"
accelerators = 2
memoryMiB = 163840
checksFencing = true
[[pool.model]]
name = "vinho-8b"
version = "3"
weightsMiB = 16384
kvReserveMiB = 8192
adapters = [{ name = "douro", sizeMiB = 64 }]

[[pool]]
name = "booking"
region = "pt-norte"
[[pool.runner]]
name = "booking-1"
availabilityZone = "porto-a"
url = "http://127.0.0.1:7201"
`

function sources (routes: string, pools: string): TableSource[] {
  return [{ file: 'routes.toml', text: routes }, { file: 'pools.toml', text: pools }]
}

function issueLines (routes: string, pools: string): string[] {
  return parseAndCheckTables(sources(routes, pools)).match(() => [], (issues) => issues.map(formatIssue))
}

t.test('tables of valid files', async (t) => {
  const { tables } = parseAndCheckTables(sources(ROUTES, POOLS))._unsafeUnwrap()
  t.match(tables.routes, [{ kind: 'service', name: 'bookings', idempotent: false }, { kind: 'model', priority: 'interactive' }])
  t.match(tables.pools, [{ name: 'booking', models: [], runners: [{ checksFencing: false, memoryMiB: 0 }] }, { moveWeight: 0.2 }])
})

t.test('duplicate names and addresses are reported along with other errors', async (t) => {
  const routes = ROUTES.replace('name = "bookings"', 'name = "tasting-notes"').replace('answerTargetMs = 500', 'answerTargetMs = "500"')
  const pools = POOLS.replace('name = "booking"', 'name = "drafting"').replace('booking-1', 'drafting-01').replace('7201', '7101/')
    .replace('sizeMiB = 64 }', 'sizeMiB = 64 }, { name = "douro", sizeMiB = 1 }')
    .replace('[[pool.model]]', '[[pool.model]]\nname = "vinho-8b"\nversion = "3"\nweightsMiB = 1\nkvReserveMiB = 1\ncolour = 1\n[[pool.model]]')
  t.same(issueLines(routes, pools), [
    'routes.toml:11:1: route[1].name: duplicate route tasting-notes',
    'routes.toml:14:1: route[1].answerTargetMs: expected number of milliseconds, got string "500"',
    'pools.toml:17:1: pool[0].model[0].colour: unknown key',
    'pools.toml:19:1: pool[0].model[1].name: duplicate model vinho-8b version 3',
    'pools.toml:23:49: pool[0].model[1].adapters[1].name: duplicate adapter douro',
    'pools.toml:26:1: pool[1].name: duplicate pool drafting',
    'pools.toml:29:1: pool[1].runner[0].name: duplicate runner drafting-01',
    'pools.toml:31:1: pool[1].runner[0].url: duplicate address http://127.0.0.1:7101'
  ])
})

t.test('duplicate rows in another file', async (t) => {
  const issues = parseTables([...sources(ROUTES, POOLS), { file: 'more.toml', text: ROUTES }])._unsafeUnwrapErr()
  t.same(issues.map(formatIssue), [
    'more.toml:2:1: route[0].name: duplicate row, also in routes.toml', 'more.toml:11:1: route[1].name: duplicate row, also in routes.toml'
  ])
})

t.test('references to missing pools, models, versions, adapters and runners', async (t) => {
  t.match(issueLines(ROUTES.replace('"drafting"', '"none"'), POOLS), [/^routes.toml:6:1: route\[0\].pool: no pool is named none$/])
  t.match(issueLines(ROUTES.replace('"vinho-8b"', '"x"'), POOLS), [/^routes.toml:3:1: .*does not hold model x$/])
  t.match(issueLines(ROUTES.replace('"3"', '"4"'), POOLS), [/^routes.toml:5:1: .*in version 3, not in version 4$/])
  t.match(issueLines(ROUTES.replace('"douro"', '"dao"'), POOLS), [/^routes.toml:4:1: .*has no adapter dao$/])
  t.match(issueLines(ROUTES.replace('pool = "booking"', 'pool = "drafting"'), POOLS), [/^routes.toml:13:1: .*holds models/])
  t.match(issueLines(ROUTES, POOLS.slice(0, POOLS.lastIndexOf('[[pool.runner]]'))), [/^routes.toml:13:1: .*has no runner$/])
})

t.test('memory of one copy and of all copies', async (t) => {
  t.match(issueLines(ROUTES, POOLS.replace('163840', '24639')), [/^pools.toml:15:1: .*takes 24640 MiB, but the largest runner .* has 24639 MiB$/])
  t.same(issueLines(ROUTES, POOLS.replace('163840', '24640')), [])
  const twoVersions = POOLS.replace('[[pool.model]]', '[[pool.model]]\nname = "vinho-8b"\nversion = "4"\nweightsMiB = 20000\nkvReserveMiB = 0\n[[pool.model]]')
  const both = ROUTES + '[[route]]\nname = "next"\nmodel = "vinho-8b"\nversion = "4"\npool = "drafting"\nfirstTokenTargetMs = 1\nbetweenTokensTargetMs = 1\n'
  t.match(issueLines(both, twoVersions.replace('163840', '44639')), [/^pools.toml:1:3: pool\[0\]: 1 of 2 routed models find no room: .*44640 MiB/])
  t.same(issueLines(both, twoVersions.replace('163840', '44640')), [])
  t.same(issueLines(ROUTES, twoVersions.replace('163840', '24640')), [], 'versions that no route names need no memory')
})
