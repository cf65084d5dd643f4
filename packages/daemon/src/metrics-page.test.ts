import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import test from 'ava'

const ROOT = fileURLToPath(new URL('../../../', import.meta.url))
const CALL = /metrics\??\.(?:increment|timing|gauge)\(\s*['`]([^'`]+)['`]/g

/** Names of all metrics in the sources; `${group}` in a template becomes `<group>`. */
function namesInCode (): string[] {
  const names = new Set<string>()
  for (const pkg of ['node', 'control', 'daemon']) {
    const src = join(ROOT, 'packages', pkg, 'src')
    for (const file of readdirSync(src, { recursive: true }) as string[]) {
      if (!file.endsWith('.ts') || file.endsWith('.test.ts')) continue
      for (const [, name] of readFileSync(join(src, file), 'utf8').matchAll(CALL)) names.add(name!.replace(/\$\{(\w+)\}/g, '<$1>'))
    }
  }
  return [...names].sort()
}

// Guards against a metric that is added, renamed or removed in the code but not on the page.
test('docs/metrics.md lists exactly the metrics in the code', (t) => {
  const page = readFileSync(join(ROOT, 'docs/metrics.md'), 'utf8')
  const rows = [...page.matchAll(/^\| `([\w.<>]+)` \| (?:counter|timer|gauge) \|/gm)].map(([, name]) => name!)
  const names = namesInCode()
  t.true(names.length > 0)
  t.deepEqual(rows.sort(), names)
})
