// Starts a small deployment on loopback addresses: processes of the project with the commands of the deploy file, and stand-ins for its
// servers, clients, operator and platform that follow PROTOCOL.md. Uses only modules of Node.js.
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const REPOSITORY = fileURLToPath(new URL('../..', import.meta.url))
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))
export const nowMs = () => performance.now()

export class CannotRun extends Error {}

/** Bounds of the small installations, see SYSTEM.md. */
export const BOUNDS = {
  SeedLagS: 3,
  AddrReuseS: 2,
  ContactMs: 3000,
  AckMs: 4000,
  SyncS: 4,
  DrainMs: 2500,
  GraceS: 6,
  LossSlackMs: 200,
  ConfigApplyMs: 2500,
  RollbackSlackMs: 250,
  MaxStretchMs: 5000,
  RetryBudgetRatio: 0.2,
  BudgetWindowS: 10,
  RetryBudgetExtra: 47,
  RecoveryS: 15
}
const HEARTBEAT_MS = 1500

/** The words of a role's command in the deploy file. */
function commandOf (role) {
  const text = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8')
  const part = text.slice(text.indexOf(`[roles.${role}]`))
  const run = /run = "([^"]+)"/.exec(part)
  if (run === null) throw new CannotRun(`the deploy file has no role "${role}"`)
  return run[1].split(' ')
}

async function isFree (host, port) {
  const server = net.createServer()
  return await new Promise((resolve) => {
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** Picks a block of loopback addresses and ports that nothing uses. */
async function pickPlace () {
  for (let i = 0; i < 50; i++) {
    const net16 = `127.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`
    const base = 20_000 + Math.floor(Math.random() * 1000) * 10
    const checks = []
    for (let n = 1; n <= 16; n++) for (let p = 0; p < 10; p++) checks.push(isFree(`${net16}.${n}`, base + p))
    if ((await Promise.all(checks)).every(Boolean)) return { net16, base }
  }
  throw new CannotRun('no free ports')
}

/** Creates the record of a run, which is written to record.txt beside the script. */
export function createRecord (scriptUrl) {
  const file = join(dirname(fileURLToPath(scriptUrl)), 'record.txt')
  const startMs = nowMs()
  writeFileSync(file, '')
  return (text) => appendFileSync(file, `${((nowMs() - startMs) / 1000).toFixed(3)} ${text}\n`)
}

/** Starts a deployment; `machines` are the sidecar machines by name with the service of each. */
export async function startFleet ({ record, controls = 3, machines }) {
  const { net16, base } = await pickPlace()
  const dir = mkdtempSync(join(tmpdir(), 'review-'))
  const ports = { admin: base, outbound: base + 1, readiness: base + 2, inbound: base + 3, app: base + 4, internal: [base + 5, base + 9] }
  const names = [...Array.from({ length: controls }, (_, i) => `core-${i + 1}`), ...Object.keys(machines)]
  const ipOf = Object.fromEntries(names.map((name, i) => [name, `${net16}.${i + 1}`]))
  const zones = ['akur-a', 'reyk-a', 'egil-a']
  const zoneOf = (name) => name.startsWith('core') ? zones[(Number(name.at(-1)) - 1) % 3] : 'akur-a'
  const seeds = names.filter((name) => name.startsWith('core')).slice(0, 3).map((name) => `${ipOf[name]}:${ports.admin}`)
  const processes = new Map()

  const settingsOf = (name, bootstrap) => {
    const isCore = name.startsWith('core')
    const ip = ipOf[name]
    const dataDir = join(dir, name)
    if (isCore) mkdirSync(dataDir, { recursive: true })
    const quoted = (list) => `[${list.map((text) => `"${text}"`).join(',')}]`
    return [
      `NodeId = "${name}"`, `Role = "${isCore ? 'control' : 'node'}"`, `NodeClass = "${isCore ? 'core' : 'sidecar'}"`,
      `Serves = ["${isCore ? 'control_plane' : 'sidecar'}"]`, `Ip = "${ip}"`, `Zone = "${zoneOf(name)}"`, 'Region = "nordurland"',
      `InternalPorts = [${ports.internal.join(',')}]`, `SeedNodes = ${quoted(seeds)}`, `Bootstrap = ${bootstrap}`,
      `InTolerance = ${isCore}`, ...(isCore ? [`DataDir = "${dataDir}"`] : []), 'Discovery = "local"', 'EntryMode = "local"',
      `HeartbeatIntervalMs = ${HEARTBEAT_MS}`, 'Contracts = ["base","drain","config","cost","retry","recover","pressure"]',
      `Bounds = ${quoted(Object.entries(BOUNDS).map(([key, value]) => `${key}=${value}`))}`,
      ...(isCore ? [] : [`AppAddr = "${ip}:${ports.app}"`, `Service = "${machines[name]}"`]),
      '[Zones]', ...zones.map((zone) => `${zone} = "nordurland"`), '[ListenAddrs]',
      ...(isCore ? [] : [`Inbound = "${ip}:${ports.inbound}"`, `Outbound = "${ip}:${ports.outbound}"`, `Readiness = "${ip}:${ports.readiness}"`]),
      `Admin = "${ip}:${ports.admin}"`, '[Limits]', 'CpuShare = 0.54', 'CpuCores = 2', 'MemoryMb = 350', 'MaxFds = 4100', 'LinkMbps = 1000.0',
      `DiskMb = ${isCore ? 256 : 0}`, '[FaultTolerance]', `Nodes = ${Math.floor((controls - 1) / 2)}`, 'Zones = 0', 'Regions = 0', ''
    ].join('\n')
  }
  const start = (name, bootstrap = false) => {
    const file = join(dir, `${name}.toml`)
    writeFileSync(file, settingsOf(name, bootstrap))
    const [program, ...args] = commandOf(name.startsWith('core') ? 'control' : 'node')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: REPOSITORY, stdio: ['ignore', process.env.LOGS === '1' ? 'inherit' : 'ignore', 'ignore'], env: { PATH, HOME, LANG, ORIOLESLIP_CONFIG: file }
    })
    processes.set(name, child)
    child.once('exit', (code, signal) => record(`process ${name} ended: ${signal ?? code}`))
    record(`process ${name} started`)
  }
  const kill = async (name, signal = 'SIGKILL') => {
    const child = processes.get(name)
    if (child.exitCode !== null || child.signalCode !== null) return
    const ended = once(child, 'exit')
    record(`${signal} to ${name}`)
    child.kill(signal)
    await ended
  }
  const stop = async () => {
    await Promise.all([...processes.keys()].map((name) => kill(name)))
    rmSync(dir, { recursive: true, force: true })
  }
  const fleet = {
    ports,
    ipOf,
    names,
    start,
    kill,
    stop,
    signal: (name, signal) => { record(`${signal} to ${name}`); processes.get(name).kill(signal) },
    process: (name) => processes.get(name),
    isRunning: (name) => { const child = processes.get(name); return child.exitCode === null && child.signalCode === null },
    isReady: async (name) => (await call({ host: ipOf[name], port: ports.readiness, path: '/ready' })).status === 200,
    /** Sends a call of the operator to one core machine after the other until the reply is clear. */
    operator: async (method, body, timeoutMs = 20_000) => {
      const cores = names.filter((name) => name.startsWith('core'))
      const endMs = nowMs() + timeoutMs
      for (let i = 0; nowMs() < endMs; i++) {
        const reply = await call({ host: ipOf[cores[i % cores.length]], port: ports.admin, method, path: '/config', body, timeoutMs: 1000 })
        if (reply.status >= 200 && reply.status < 500 && reply.status !== 408 && reply.status !== 429) return reply
        await sleep(100)
      }
      throw new CannotRun(`no clear reply to ${method} /config`)
    }
  }
  for (const name of names) start(name, true)
  return fleet
}

/** Sends a request with node:http; status 0 without a response. */
export function call ({ host, port, method = 'GET', path, headers = {}, body, timeoutMs = 5000, agent }) {
  return new Promise((resolve) => {
    const req = http.request({ host, port, method, path, agent, headers: body === undefined ? headers : { 'content-type': 'application/json', ...headers, 'content-length': Buffer.byteLength(body) } })
    const timer = setTimeout(() => req.destroy(new Error('timeout')), timeoutMs)
    const end = (reply) => { clearTimeout(timer); resolve(reply) }
    req.on('error', (err) => end({ status: 0, headers: {}, text: '', error: err.message }))
    req.on('response', (res) => {
      const chunks = []
      res.on('data', (chunk) => chunks.push(chunk))
      res.on('error', (err) => end({ status: 0, headers: {}, text: '', error: err.message }))
      res.on('end', () => end({ status: res.complete ? res.statusCode : 0, headers: res.headers, text: Buffer.concat(chunks).toString() }))
    })
    req.end(body)
  })
}

export async function until (what, check, timeoutMs = 20_000) {
  const endMs = nowMs() + timeoutMs
  while (nowMs() < endMs) {
    if (await check()) return
    await sleep(50)
  }
  throw new CannotRun(`timed out waiting for ${what}`)
}

/** A desired state as in PROTOCOL.md; a route is { name, host, prefix, kind, service, timeoutMs }. */
export function config ({ version, base, routes, services }) {
  const hex = (n) => n.toString(16).padStart(8, '0')
  return JSON.stringify({
    Version: hex(version),
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 67_108_864, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
    BaseVersion: hex(base),
    Listeners: routes.map(({ name, host, prefix, kind, service, timeoutMs = 5000 }) => ({
      Host: host,
      Rules: [{
        Name: name,
        RouteType: kind,
        TargetLatencyMs: 1500,
        Priority: kind === 'idempotent' ? 2 : 0,
        Match: { PathPrefix: prefix },
        Action: { Service: service, TimeoutMs: timeoutMs, MaxAttempts: 2 }
      }]
    })),
    Clusters: services.map((name) => ({ Name: name, HealthPath: '/health', MaxConnections: 484, Protocol: 'h1', Tls: false }))
  })
}

/** Starts a sound server of a service on a sidecar machine; `work` may change what it does with a request. */
export async function startServer ({ fleet, record, machine, service, id, workMs = 5, concurrency = 64, work }) {
  const host = fleet.ipOf[machine]
  const born = Date.now()
  const arrivals = []
  const state = { state: 'ready', sequence: 0, beating: true }
  const server = http.createServer((req, res) => {
    const requestId = String(req.headers['orioleslip-request-id'] ?? '')
    const expected = req.headers['orioleslip-expected-instance']
    if (expected !== undefined && expected !== id) {
      record(`server ${id} answers 421 to ${requestId}, sent to ${expected}`)
      res.writeHead(421, { 'orioleslip-request-id': requestId, 'orioleslip-instance-id': id, 'orioleslip-not-executed': '1' })
      req.resume()
      return res.end()
    }
    const arrival = { requestId, atMs: nowMs(), method: req.method, path: req.url, caller: req.headers['orioleslip-caller-service'] }
    arrivals.push(arrival)
    record(`server ${id} runs ${requestId}`)
    const answer = () => {
      res.writeHead(200, { 'orioleslip-request-id': requestId, 'orioleslip-server-signature': `s-${requestId}`, 'content-type': 'text/plain' })
      res.end(`body of ${requestId}`)
    }
    if (work !== undefined) return work({ req, res, requestId, answer, arrival })
    req.resume()
    setTimeout(answer, workMs)
  })
  server.keepAliveTimeout = 30_000
  server.listen(fleet.ports.app, host)
  await once(server, 'listening')
  const admin = (method, body, path = id) => call({ host, port: fleet.ports.admin, method, path: `/instances/${path}`, body, timeoutMs: 1000 })
  const beatBody = (over = {}) => JSON.stringify({
    Address: `${host}:${fleet.ports.app}`,
    born,
    Info: { Service: service, Version: 'v1', Zone: 'akur-a', Concurrency: concurrency },
    Status: { State: state.state, Sequence: ++state.sequence, WarmupLeftMs: 0 },
    ...over
  })
  const beat = async () => {
    const reply = await admin('PUT', beatBody())
    record(`server ${id} says ${state.state}, sequence ${state.sequence}: ${reply.status}`)
    return reply.status >= 200 && reply.status < 300
  }
  const loop = async () => {
    while (state.beating) {
      await beat()
      await sleep(HEARTBEAT_MS)
    }
  }
  loop()
  return {
    id,
    born,
    arrivals,
    admin,
    beat,
    beatBody,
    server,
    state,
    /** Reports `draining`; resolves with the time of the ack. */
    drain: async () => {
      state.state = 'draining'
      for (;;) {
        if (await beat()) return nowMs()
        await sleep(200)
      }
    },
    /** Ends the process: all connections close, and nothing listens any more. */
    end: () => {
      state.beating = false
      record(`server ${id} ends`)
      server.close()
      server.closeAllConnections()
    }
  }
}

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. Ends all processes. */
export async function runCase (scriptUrl, body) {
  const record = createRecord(scriptUrl)
  const isTroubled = process.env.TROUBLE !== '0'
  const cleanups = []
  let code = 2
  const timer = setTimeout(() => {
    record('the case takes too long')
    finish(2)
  }, 110_000)
  const finish = async (result) => {
    clearTimeout(timer)
    for (const cleanup of cleanups.reverse()) await Promise.resolve(cleanup()).catch(() => {})
    process.exit(result)
  }
  try {
    const { broken, text } = await body({ record, isTroubled, onEnd: (cleanup) => cleanups.push(cleanup) })
    record(`${broken ? 'BROKEN' : 'held'}: ${text}`)
    console.log(`${broken ? 'BROKEN' : 'held'}: ${text}`)
    code = broken ? 1 : 0
  } catch (err) {
    record(`could not run: ${err.stack ?? err}`)
    console.log(`could not run: ${err.message ?? err}`)
  }
  await finish(code)
}
