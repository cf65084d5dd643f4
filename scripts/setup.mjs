// Installs the locked dependencies when they are missing or outdated, then compiles every package.
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { createHash } from 'node:crypto'

const MARKER = 'node_modules/.orioleslip-setup'
const lockHash = createHash('sha256').update(readFileSync('package-lock.json')).digest('hex')

function run (cmd, args) {
  const res = spawnSync(cmd, args, { stdio: 'inherit' })
  if (res.status !== 0) {
    console.error(`${cmd} ${args.join(' ')} failed with status ${res.status}`)
    process.exit(1)
  }
}

if (!existsSync(MARKER) || readFileSync(MARKER, 'utf8') !== lockHash) {
  run('npm', ['ci', '--no-audit', '--no-fund', '--prefer-offline'])
  writeFileSync(MARKER, lockHash)
}
run('node', ['node_modules/typescript/bin/tsc', '-b'])
