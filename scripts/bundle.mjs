/**
 * Bundles the program that runs on the users' platform, so that it starts fast: into one file, and a small one that handles signals
 * and then loads it. Usage: node scripts/bundle.mjs [DIRECTORY]
 */
import { build } from 'esbuild'

const [directory = 'target'] = process.argv.slice(2)
const options = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  conditions: ['source'],
  mainFields: ['module', 'main'],
  logLevel: 'warning',
  minifySyntax: true,
  metafile: true
}

const { metafile } = await build({
  ...options,
  outfile: `${directory}/figloom-gateway-main.cjs`,
  stdin: { contents: "import { Program } from './program.js'; Program.create().run()", resolveDir: 'platform/src' }
})
await build({
  ...options,
  outfile: `${directory}/figloom-gateway.cjs`,
  entryPoints: ['platform/src/early-signals.ts'],
  footer: { js: 'require("./figloom-gateway-main.cjs");' }
})

// A new machine has no compiled files in dist/ from earlier builds. A package that resolves to them lacks the `source` condition.
const prebuilt = Object.keys(metafile.inputs).filter((path) => /^(packages\/[^/]+|platform)\/dist\//.test(path))
if (prebuilt.length > 0) {
  console.error(`the bundle would include compiled files instead of sources: ${prebuilt.join(', ')}`)
  process.exitCode = 1
}
