// Compiles every function of target/program.cjs and stores the code in target/program.cache, for scripts/launcher.cjs. Run by
// scripts/bundle.mjs with the flags of the deployed processes, because V8 rejects code that was compiled with other flags.
const { readFileSync, writeFileSync } = require('node:fs')
const Module = require('node:module')
const { join } = require('node:path')
const { setFlagsFromString } = require('node:v8')
const { Script } = require('node:vm')

const [folder] = process.argv.slice(2)
const filename = join(folder, 'program.cjs')
setFlagsFromString('--no-lazy')
const script = new Script(Module.wrap(readFileSync(filename, 'utf8')), { filename })
setFlagsFromString('--lazy')
writeFileSync(join(folder, 'program.cache'), script.createCachedData())
