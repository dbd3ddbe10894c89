/** Checks that links between documentation pages point to existing files. */
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import t from 'tap'

const ROOT = new URL('../../../../', import.meta.url)
const LINK = /\]\((?!https?:|#)([^)#\s]+)(?:#[^)]*)?\)/g

function listPages (): string[] {
  const inDocs = (readdirSync(new URL('docs/', ROOT), { recursive: true }) as string[]).filter((name) => name.endsWith('.md'))
  return ['README.md', 'CONTRIBUTING.md', ...inDocs.map((name) => `docs/${name}`)]
}

t.test('links between documentation pages', async (t) => {
  for (const page of listPages()) {
    const text = readFileSync(new URL(page, ROOT), 'utf8')
    for (const [, target = ''] of text.matchAll(LINK)) t.ok(existsSync(new URL(target, new URL(page, ROOT))), `${page}: ${target}`)
  }
})
