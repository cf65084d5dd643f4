import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import test from 'ava'

const ROOT = fileURLToPath(new URL('../../../', import.meta.url))
const SOURCES = ['packages/node/src', 'packages/control/src', 'packages/daemon/src', 'platform/src']
/** Words in the page's column of fields that are not names of fields. */
const NON_FIELD_WORDS = new Set(['ports', 'none'])

/** Source text of the fields of each event, joined over all places that log it. */
function eventsInCode (): Map<string, string> {
  const events = new Map<string, string>()
  for (const folder of SOURCES) {
    for (const file of readdirSync(join(ROOT, folder), { recursive: true }) as string[]) {
      if (!file.endsWith('.ts') || file.endsWith('.test.ts')) continue
      const text = readFileSync(join(ROOT, folder, file), 'utf8')
      for (const { 1: name, index } of text.matchAll(/event: '([a-z-]+)'/g)) {
        // The object of fields ends where the message argument begins.
        events.set(name!, `${events.get(name!) ?? ''} ${text.slice(index, text.indexOf('}, ', index))}`)
      }
    }
  }
  return events
}

// Guards against an event or a field that is added, renamed or removed in the code but not on the page that operators search.
test('docs/logs.md lists exactly the events in the code, with fields that they have', (t) => {
  const page = readFileSync(join(ROOT, 'docs/logs.md'), 'utf8')
  const rows = [...page.matchAll(/^\| `([a-z-]+)` \| [^|]+ \| ([^|]+) \|/gm)].map(([, name, fields]) => ({ name: name!, fields: fields!.split(', ') }))
  const events = eventsInCode()
  t.deepEqual(rows.map(({ name }) => name), [...events.keys()].sort())
  for (const { name, fields } of rows) {
    for (const field of fields.map((each) => each.trim().replaceAll('`', ''))) {
      if (!NON_FIELD_WORDS.has(field) && name !== 'request') t.regex(events.get(name)!, new RegExp(`\\b${field}\\b`), `${name}: ${field}`)
    }
  }
})

// Guards against a field that is added to the `request` event, the most used one, but not to the page.
test('docs/logs.md names each field of the line that ends a request', (t) => {
  const type = /export type RequestSummary = \{([^}]+)\}/.exec(readFileSync(join(ROOT, 'packages/node/src/routes/route-handler.ts'), 'utf8'))![1]!
  const inCode = [...type.matchAll(/^ {2}(\w+)\??:/gm)].map(([, name]) => name!)
  const row = /^\| `request` \| [^|]+ \| ([^|]+) \|/m.exec(readFileSync(join(ROOT, 'docs/logs.md'), 'utf8'))![1]!
  t.deepEqual([...row.matchAll(/`(\w+)`/g)].map(([, name]) => name!), inCode)
})
