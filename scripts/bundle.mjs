/** Bundles the programs that run on the users' platform into one file each, so that they start fast. */
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

// What another build left in dist/ is not there on a new machine: a package that resolves to it lacks the `source` condition.
const prebuilt = Object.keys(metafile.inputs).filter((path) => /^(packages\/[^/]+|platform)\/dist\//.test(path))
if (prebuilt.length > 0) {
  console.error(`the bundle would take compiled files in place of sources: ${prebuilt.join(', ')}`)
  process.exitCode = 1
}
