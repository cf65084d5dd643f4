import { spawn } from 'node:child_process'
import { createServer } from 'node:net'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import test, { type ExecutionContext } from 'ava'
import { EXIT } from './exit-codes.js'

const BINARY = fileURLToPath(new URL('./main.js', import.meta.url))

const settingsOf = (port: number, dataDir: string, extra = '') => `role = "control"
[vm]
id = "c1"
address = "127.0.0.1"
region = "r1"
failureDomain = "r1-a"
[control]
apiPort = ${port}
gossipPort = ${port}
dataDir = ${JSON.stringify(dataDir)}
${extra}
[[controls]]
vmId = "c1"
address = "127.0.0.1"
apiPort = ${port}
gossipPort = ${port}
failureDomain = "r1-a"
[auth]
fleetKey = "fleet-key-0123456789"
`

async function createFolder (t: ExecutionContext): Promise<string> {
  const dir = await mkdtemp(join(tmpdir(), 'orioleslipd-'))
  t.teardown(() => rm(dir, { recursive: true }))
  return dir
}

/** Occupies a free port until `close` is called. */
async function occupyPort (): Promise<{ port: number, close: () => Promise<void> }> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { port: (server.address() as AddressInfo).port, close: () => new Promise((resolve) => server.close(() => resolve())) }
}

/** Runs the binary; `onLine` receives each line of its standard output. */
function run (args: string[], onLine: (line: string, signal: (name: NodeJS.Signals) => void) => void = () => {}) {
  return new Promise<{ code: number | null, out: string, err: string }>((resolve) => {
    const child = spawn(process.execPath, [BINARY, ...args])
    let out = ''
    let err = ''
    let rest = ''
    child.stdout.on('data', (chunk: Buffer) => {
      out += String(chunk)
      const lines = (rest + String(chunk)).split('\n')
      rest = lines.pop() ?? ''
      for (const line of lines) onLine(line, (name) => child.kill(name))
    })
    child.stderr.on('data', (chunk: Buffer) => { err += String(chunk) })
    child.on('close', (code) => resolve({ code, out, err }))
  })
}

// Guards against a daemon that ignores an unknown key, so that a misspelled setting silently keeps its default, or that fails without
// naming file, key and remedy.
test('wrong settings and command lines end with exit code 2 and the remedy', async (t) => {
  const dir = await createFolder(t)
  const file = join(dir, 'control.toml')
  await writeFile(file, settingsOf(7000, dir, 'keyLimits = 5'))
  for (const args of [['--config', file], ['--config', file, '--check']]) {
    t.deepEqual(await run(args), { code: EXIT.usage, out: '', err: `${file}: control: unknown key "keyLimits"; remove it or correct its name\n` })
  }
  t.like(await run(['--config', join(dir, 'none.toml')]), { code: EXIT.usage, err: `${join(dir, 'none.toml')}: cannot read the file (ENOENT); check the path and its permissions\n` })
  t.is((await run([])).code, EXIT.usage)
  t.is((await run(['--help'])).code, EXIT.ok)
})

// Guards against a check that opens ports or writes into the data folder of a running process.
test('--check validates the settings without starting the process', async (t) => {
  const dir = await createFolder(t)
  const file = join(dir, 'control.toml')
  await writeFile(file, settingsOf(7000, join(dir, 'data')))
  t.deepEqual(await run(['--config', file, '--check']), { code: EXIT.ok, out: `${file}: the settings are valid for role "control"\n`, err: '' })
})

// Guards against a failed start that a service manager takes for a planned stop because of its exit code, or whose log hides the cause.
test('a taken port and an unusable data folder end with exit code 3', async (t) => {
  const dir = await createFolder(t)
  const file = join(dir, 'control.toml')
  const taken = await occupyPort()
  t.teardown(taken.close)
  await writeFile(file, settingsOf(taken.port, join(dir, 'data')))
  const blocked = await run(['--config', file])
  t.is(blocked.code, EXIT.startFailed)
  t.regex(blocked.out, /cannot listen on 127\.0\.0\.1:\d+ \(EADDRINUSE\); stop the other process or change control\.apiPort/)
  await writeFile(file, settingsOf(taken.port, file))
  const noFolder = await run(['--config', file])
  t.is(noFolder.code, EXIT.startFailed)
  t.regex(noFolder.out, /check control\.dataDir and its permissions/)
})

// Guards against a stop signal that ends the process without a planned stop because no handler is installed, and against log lines that
// are not JSON.
test('SIGTERM and SIGINT stop the process with exit code 0', async (t) => {
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    const dir = await createFolder(t)
    const file = join(dir, 'control.toml')
    const free = await occupyPort()
    await free.close()
    await writeFile(file, settingsOf(free.port, join(dir, 'data')))
    const res = await run(['--config', file], (line, send) => { if (line.includes('Control process is up')) send(signal) })
    t.is(res.code, EXIT.ok)
    t.is(res.err, '')
    const messages = res.out.trim().split('\n').map((line) => (JSON.parse(line) as { msg: string }).msg)
    t.true(messages.includes('Stopped'), messages.join('\n'))
  }
})

// Guards against a reload signal that ends the process, and with it everything that is open, because no handler is installed.
test('SIGHUP leaves the process running, with a line in its log', async (t) => {
  const dir = await createFolder(t)
  const file = join(dir, 'control.toml')
  const free = await occupyPort()
  await free.close()
  await writeFile(file, settingsOf(free.port, join(dir, 'data')))
  const res = await run(['--config', file], (line, send) => {
    if (line.includes('Control process is up')) send('SIGHUP')
    if (line.includes('"event":"reload"')) send('SIGTERM')
  })
  t.is(res.code, EXIT.ok)
  t.is(res.out.match(/"event":"reload"/g)?.length, 1)
})
