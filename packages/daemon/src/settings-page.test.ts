import { readFileSync } from 'node:fs'
import test from 'ava'
import { settingsSchema } from '@orioleslip/core'
import { z } from 'zod'

type JsonSchema = { properties?: Record<string, JsonSchema>, required?: string[], items?: JsonSchema, default?: unknown }

// Tables that have no row on the page; only their keys have.
const isPlainTable = (schema: JsonSchema) => schema.properties !== undefined

/** Keys of a schema with their defaults, in the format of the page. */
function keysOf (schema: JsonSchema, prefix = ''): Array<[key: string, fallback: string]> {
  return Object.entries(schema.properties ?? {}).flatMap(([name, child]): Array<[string, string]> => {
    const key = prefix + name
    const fallback = schema.required?.includes(name) === true ? 'required' : `\`${JSON.stringify(child.default)}\``
    if (isPlainTable(child)) return keysOf(child, `${key}.`)
    return [[key, fallback], ...(child.items === undefined ? [] : keysOf(child.items, `${key}[].`))]
  })
}

// Guards against a page without a new key, with a removed one or with a wrong default, after the schema changes and the page does not.
test('docs/settings.md has every key of the schema with its default', (t) => {
  const page = readFileSync(new URL('../../../docs/settings.md', import.meta.url), 'utf8')
  const section = page.split('\n## ').find((text) => text.startsWith('orioleslipd\n')) ?? ''
  const rows = [...section.matchAll(/^\| `([^`]+)` \| ([^|]+) \|/gm)].map(([, key, fallback]) => [key, fallback])
  t.deepEqual(rows, keysOf(z.toJSONSchema(settingsSchema, { io: 'input' }) as JsonSchema))
})
