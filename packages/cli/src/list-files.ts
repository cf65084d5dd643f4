import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { listsSchema, parseToml, type Lists, type ListsDocument } from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import { stringify } from 'smol-toml'
import { z } from 'zod'
import { EXIT, type CliError } from './exit-codes.js'

const revision = z.number().int().min(0).optional()
const customersFileSchema = z.strictObject({ revision, customers: listsSchema.shape.customers })
const plansFileSchema = z.strictObject({ revision, plans: listsSchema.shape.plans })

/** Lists read from files; a list without a file is absent. `revision` is the one that `lists get` wrote into the files. */
export type ListFiles = { customers?: Lists['customers'], plans?: Lists['plans'], revision?: number }

export type ListFileOptions = { customers?: string, plans?: string }

const fail = (message: string) => err<never, CliError>({ exitCode: EXIT.usage, message })

function readToml<Schema extends z.ZodType> (path: string, schema: Schema): Result<z.infer<Schema>, CliError> {
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (cause) {
    return fail(`${path}: cannot read the file (${(cause as NodeJS.ErrnoException).code ?? String(cause)}); check the path`)
  }
  return parseToml(path, text, schema).mapErr(({ message }) => ({ exitCode: EXIT.usage, message }))
}

/** Reads the given list files. */
export function readListFiles (options: ListFileOptions): Result<ListFiles, CliError> {
  if (options.customers === undefined && options.plans === undefined) return fail('no list file is named; use --customers, --plans or both')
  const files: ListFiles = {}
  const revisions = new Set<number>()
  if (options.customers !== undefined) {
    const res = readToml(options.customers, customersFileSchema)
    if (res.isErr()) return err(res.error)
    files.customers = res.value.customers
    if (res.value.revision !== undefined) revisions.add(res.value.revision)
  }
  if (options.plans !== undefined) {
    const res = readToml(options.plans, plansFileSchema)
    if (res.isErr()) return err(res.error)
    files.plans = res.value.plans
    if (res.value.revision !== undefined) revisions.add(res.value.revision)
  }
  if (revisions.size > 1) return fail('the files were made from different revisions; get both again with "lists get --out" and repeat the change')
  const [fileRevision] = revisions
  return ok(fileRevision === undefined ? files : { ...files, revision: fileRevision })
}

/** Validates the two lists, including the references of customers to plans. */
export function checkLists (lists: Lists): Result<Lists, CliError> {
  const res = listsSchema.safeParse(lists)
  if (res.success) return ok(res.data)
  return fail(res.error.issues.map((issue) => `${issue.path.map(String).join('.')}: ${issue.message}`).join('\n'))
}

const formatHeader = (revision: number) => `# Revision of the lists that this file was made from; "orioleslip lists edit" uses it to detect conflicts.
revision = ${revision}

`

/** Formats the lists as the contents of customers.toml and plans.toml. */
export function formatListFiles ({ revision, lists }: ListsDocument): { customers: string, plans: string } {
  return {
    customers: formatHeader(revision) + stringify({ customers: lists.customers }) + '\n',
    plans: formatHeader(revision) + stringify({ plans: lists.plans }) + '\n'
  }
}

/** Writes customers.toml and plans.toml; existing files are kept unless `force` is set. */
export function writeListFiles (dir: string, document: ListsDocument, force: boolean): Result<string[], CliError> {
  const texts = formatListFiles(document)
  const written: string[] = []
  try {
    mkdirSync(dir, { recursive: true })
    for (const name of ['customers', 'plans'] as const) {
      const path = join(dir, `${name}.toml`)
      writeFileSync(path, texts[name], { flag: force ? 'w' : 'wx' })
      written.push(path)
    }
  } catch (cause) {
    const { code, path } = cause as NodeJS.ErrnoException
    const remedy = code === 'EEXIST' ? 'the file exists; use --force to replace it' : `cannot write the file (${code ?? String(cause)})`
    return fail(`${path ?? dir}: ${remedy}`)
  }
  return ok(written)
}
