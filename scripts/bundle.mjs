/** Bundles the programs that run on the users' platform into one file each, so that they start fast. */
import { build } from 'esbuild'

await build({
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
  minifySyntax: true
})
