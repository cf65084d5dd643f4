// Bundles the program for the platform, from the TypeScript sources, so that no package has to be compiled first. The output folder gets
// orioleslip.cjs, which starts program.cjs with the compiled code in program.cache. Usage: bundle.mjs [FOLDER], by default target.
import { spawnSync } from 'node:child_process'
import { copyFileSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'
import { parse } from 'smol-toml'

const [folder = 'target'] = process.argv.slice(2)
const script = (name) => fileURLToPath(new URL(name, import.meta.url))
const source = (path) => fileURLToPath(new URL(`../packages/${path}`, import.meta.url))

await build({
  entryPoints: [fileURLToPath(new URL('../platform/src/main.ts', import.meta.url))],
  outfile: join(folder, 'program.cjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: 'warning',
  alias: {
    '@orioleslip/core': source('core/src/index.ts'),
    '@orioleslip/control/client': source('control/src/client.ts'),
    '@orioleslip/control': source('control/src/index.ts'),
    '@orioleslip/node/membership': source('node/src/membership.ts'),
    '@orioleslip/node': source('node/src/index.ts'),
    '@orioleslip/daemon/process': source('daemon/src/process.ts')
  }
})

/** Flags of Node.js in the deploy file; all roles have the same, since they share the compiled code. */
function deployedFlags () {
  const { roles } = parse(readFileSync(script('../deploy/system.toml'), 'utf8'))
  const flags = Object.values(roles).map(({ run }) => run.split(' ').filter((word) => word.startsWith('--')))
  if (new Set(flags.map((list) => list.join(' '))).size > 1) throw new Error('the roles in deploy/system.toml have different flags; give all of them the same')
  return flags[0]
}

copyFileSync(script('launcher.cjs'), join(folder, 'orioleslip.cjs'))
const compiled = spawnSync(process.execPath, [...deployedFlags(), script('compile-bundle.cjs'), folder], { stdio: 'inherit' })
if (compiled.status !== 0) process.exit(1)
