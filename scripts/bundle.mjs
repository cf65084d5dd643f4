// Bundles the program for the platform into target/orioleslip.cjs, from the TypeScript sources, so no package has to be compiled first.
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

const source = (path) => fileURLToPath(new URL(`../packages/${path}`, import.meta.url))

await build({
  entryPoints: [fileURLToPath(new URL('../platform/src/main.ts', import.meta.url))],
  outfile: 'target/orioleslip.cjs',
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
