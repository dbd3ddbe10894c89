/** Bundles each program that runs on the users' platform into a single file, so that it starts fast. */
import { build } from 'esbuild'

const { metafile } = await build({
  entryPoints: { 'figloom-gateway': 'platform/src/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  conditions: ['source'],
  mainFields: ['module', 'main'],
  logLevel: 'warning',
  minifySyntax: true,
  metafile: true
})

// A new machine has no compiled files in dist/ from earlier builds. A package that resolves to them lacks the `source` condition.
const prebuilt = Object.keys(metafile.inputs).filter((path) => /^(packages\/[^/]+|platform)\/dist\//.test(path))
if (prebuilt.length > 0) {
  console.error(`the bundle would include compiled files instead of sources: ${prebuilt.join(', ')}`)
  process.exitCode = 1
}
