import { readFileSync } from 'node:fs'
import test from 'ava'
import { settingsSchema } from '@orioleslip/core'
import { z } from 'zod'

type JsonSchema = { properties?: Record<string, JsonSchema>, required?: string[], items?: JsonSchema, default?: unknown }

// Tables that the page describes through their keys only.
const isPlainTable = (schema: JsonSchema) => schema.properties !== undefined

/** Keys of a schema with their defaults, as the page writes them. */
function keysOf (schema: JsonSchema, prefix = ''): Array<[key: string, fallback: string]> {
  return Object.entries(schema.properties ?? {}).flatMap(([name, child]): Array<[string, string]> => {
    const key = prefix + name
    const fallback = schema.required?.includes(name) === true ? 'required' : `\`${JSON.stringify(child.default)}\``
    if (isPlainTable(child)) return keysOf(child, `${key}.`)
    return [[key, fallback], ...(child.items === undefined ? [] : keysOf(child.items, `${key}[].`))]
  })
}

// Guards against a page that misses a new key, names a removed one, or shows another default than the one in effect.
test('docs/settings.md has every key of the schema with its default', (t) => {
  const page = readFileSync(new URL('../../../docs/settings.md', import.meta.url), 'utf8')
  const section = page.split('\n## ').find((text) => text.startsWith('orioleslipd\n')) ?? ''
  const rows = [...section.matchAll(/^\| `([^`]+)` \| ([^|]+) \|/gm)].map(([, key, fallback]) => [key, fallback])
  t.deepEqual(rows, keysOf(z.toJSONSchema(settingsSchema, { io: 'input' }) as JsonSchema))
})
