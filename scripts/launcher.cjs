// Starts the bundle with the compiled code that scripts/bundle.mjs stored beside it, so that a start does not parse and compile it again.
// V8 accepts stored code only from the same Node.js with the same flags; otherwise the bundle is compiled as usual.
const { readFileSync } = require('node:fs')
const Module = require('node:module')
const { join } = require('node:path')
const { Script } = require('node:vm')

const filename = join(__dirname, 'program.cjs')

function readCompiledCode () {
  try {
    return readFileSync(join(__dirname, 'program.cache'))
  } catch (err) {
    if (err.code === 'ENOENT') return undefined
    throw err
  }
}

const cachedData = readCompiledCode()
const script = new Script(Module.wrap(readFileSync(filename, 'utf8')), { filename, cachedData })
if (cachedData === undefined || script.cachedDataRejected) {
  process.stderr.write('the stored compiled code does not fit this Node.js and its flags, so the start takes longer; run "npm run bundle"\n')
}
const program = new Module(filename, module)
program.filename = filename
script.runInThisContext().call(program.exports, program.exports, Module.createRequire(filename), program, filename, __dirname)
