import t from 'tap'
import { z } from 'zod'
import { formatIssue } from './issue.js'
import { readToml } from './read.js'

const schema = z.strictObject({
  waitMs: z.int(),
  item: z.array(z.strictObject({ name: z.string(), sizeMiB: z.int().optional() })).default([])
})

function messages (text: string): string[] {
  return readToml('a.toml', text, schema).match(() => [], (issues) => issues.map(formatIssue))
}

t.test('value of a valid file', async (t) => {
  const document = readToml('a.toml', 'waitMs = 5\n[[item]]\nname = "x"\n', schema)._unsafeUnwrap()
  t.same(document.value, { waitMs: 5, item: [{ name: 'x' }] })
  t.same(document.issueAt(['item', 0, 'name'], 'm'), { file: 'a.toml', line: 3, column: 1, key: 'item[0].name', message: 'm' })
})

t.test('all schema issues at once with positions', async (t) => {
  t.same(messages('waitMs = "5s"\nwaitSeconds = 5\n[[item]]\nsizeMiB = 1\nname = "a"\n\n[[item]]\n  colour = { r = 1 }\n'), [
    'a.toml:1:1: waitMs: expected number of milliseconds, got string "5s"',
    'a.toml:2:1: waitSeconds: unknown key (a quantity in seconds; check its name and unit)',
    'a.toml:7:3: item[1].name: missing key',
    'a.toml:8:3: item[1].colour: unknown key'
  ])
})

t.test('issues in inline tables', async (t) => {
  t.same(messages('waitMs = 1\nitem = [{ name = "a" }, { name = 3 }]'), ['a.toml:2:27: item[1].name: expected string, got number 3'])
})

t.test('unknown tables', async (t) => {
  t.same(messages('waitMs = 1\n[[items]]\nname = "a"\n[a.b]\nc = 1\n'), ['a.toml:2:3: items: unknown key', 'a.toml:4:2: a: unknown key'])
})

t.test('all syntax errors at once', async (t) => {
  t.same(messages('waitMs = \nwaitMs = 5 5\n[[item]]\nname = "a\n').map((line) => line.replace(/syntax: .*/, 'syntax')), [
    'a.toml:1:9: syntax', 'a.toml:2:12: syntax', 'a.toml:4:10: syntax'
  ])
})

t.test('invalid table header causes no follow-up errors', async (t) => {
  t.equal(messages('waitMs = 1\n[[item]\nname = "a"\n[[item]]\nname = "b"\nname = "c"\n').length, 1)
})

t.test('duplicate key', async (t) => {
  t.match(messages('waitMs = 1\nwaitMs = 2\n'), [/^a.toml:2:1: syntax: .*multiple times/])
})

t.test('reserved key of objects', async (t) => {
  t.same(messages('waitMs = 1\n__proto__ = 1\n'), ['a.toml:2:1: __proto__: reserved key'])
  t.same(messages('waitMs = 1\nconstructor = 2\n'), ['a.toml:2:1: constructor: unknown key'])
})
