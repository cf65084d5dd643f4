// Starts a small deployment with the commands of the deploy file: control processes and nodes as separate processes on loopback addresses.
// The operator, the servers and the clients are stand-ins that follow the users' pages.
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { appendFileSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer as createHttpServer, request as httpRequest } from 'node:http'
import { connect, createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'

export const REPO = resolve(dirname(fileURLToPath(import.meta.url)), '../..')
export const TROUBLE = process.env.TROUBLE !== '0'
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/** Bounds of the standard sites. */
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
const CONTROLS = 5
const LOST_DISKS = 2
const RUN_LIMIT_MS = 115_000
const RESTART_DELAY_MS = 500

/** Words of `run` of a role in the deploy file. */
function commandOf (role) {
  const text = readFileSync(join(REPO, 'deploy/system.toml'), 'utf8')
  const section = text.split(`[roles.${role}]`)[1]
  return /run = "([^"]*)"/.exec(section)[1].split(' ')
}

/** First of 16 ports that are free on all loopback addresses of the deployment, and the prefix of these addresses. */
async function freePlace () {
  for (;;) {
    const prefix = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
    const port = 20_000 + 20 * Math.floor(Math.random() * 500)
    const probes = []
    try {
      for (const offset of [0, 1, 2, 16, 17, 18, 19]) {
        const probe = createTcpServer()
        probe.listen(port + offset, `${prefix}.1`)
        probes.push(probe)
        await once(probe, 'listening')
      }
      return { prefix, port }
    } catch {
      // Another process uses one of the ports.
    } finally {
      for (const probe of probes) probe.close()
    }
  }
}

/** Sends one request on a connection of its own; resolves with status 0 when no response arrives. */
export function call (address, { method = 'GET', path = '/', headers = {}, body, timeoutMs = 5000 } = {}) {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    const req = httpRequest({ host, port, method, path, headers, agent: false }, (res) => {
      const chunks = []
      res.on('data', (chunk) => chunks.push(chunk))
      res.on('end', () => resolve({ status: res.statusCode, headers: res.headers, text: Buffer.concat(chunks).toString() }))
      res.on('error', (cause) => resolve({ status: 0, headers: {}, text: cause.message }))
    })
    req.setTimeout(timeoutMs, () => req.destroy(new Error('no answer in time')))
    req.on('error', (cause) => resolve({ status: 0, headers: {}, text: cause.message }))
    req.end(body)
  })
}

export const json = (value) => ({ body: JSON.stringify(value), headers: { 'content-type': 'application/json' } })

/** A rule of the desired state. */
export const rule = (prefix, type, action, priority = 0) => ({
  Name: `r-${prefix.replaceAll('/', '')}`,
  RouteType: type,
  TargetLatencyMs: 1500,
  Priority: priority,
  Match: { PathPrefix: prefix },
  Action: { TimeoutMs: 6000, MaxAttempts: 2, ...action }
})

/** Runs a case: `run` gets the deployment and returns true when the rule held. Exits with 0, 1 or 2 as the review asks. */
export async function runCase (folder, run) {
  const record = join(folder, 'record.txt')
  writeFileSync(record, '')
  const startMs = Date.now()
  const note = (line) => appendFileSync(record, `${((Date.now() - startMs) / 1000).toFixed(3)} ${line}\n`)
  note(TROUBLE ? 'with the disruption' : 'without the disruption (TROUBLE=0)')
  const dir = mkdtempSync(join(tmpdir(), 'review-'))
  const children = new Map()
  const closers = []
  const closing = { isClosing: false }
  const end = async () => {
    closing.isClosing = true
    const alive = [...children.values()].filter((child) => child.exitCode === null && child.signalCode === null)
    for (const child of alive) child.kill('SIGKILL')
    await Promise.all(alive.map((child) => once(child, 'exit')))
    for (const close of closers) close()
    rmSync(dir, { recursive: true, force: true })
  }
  const finish = async (code) => {
    note(`exit ${code}: ${['the rule held', 'the rule was broken', 'the case could not run'][code]}`)
    await end()
    process.exit(code)
  }
  setTimeout(() => { note('the time limit of the case has passed'); finish(2) }, RUN_LIMIT_MS).unref()
  // Also after an exception that nothing has caught.
  process.on('exit', () => { for (const child of children.values()) child.kill('SIGKILL') })
  process.on('SIGTERM', () => finish(2))
  process.on('SIGINT', () => finish(2))
  try {
    const held = await run(await startFleet({ note, dir, children, closers, closing }))
    await finish(held === undefined ? 2 : held ? 0 : 1)
  } catch (cause) {
    note(`failed: ${cause instanceof Error ? cause.stack : cause}`)
    await finish(2)
  }
}

/** Starts the control processes; nodes are started by `startNode`. */
async function startFleet ({ note, dir, children, closers, closing }) {
  const { prefix, port } = await freePlace()
  const controls = Array.from({ length: CONTROLS }, (_, i) => `${prefix}.${i + 1}`)
  let nextIp = CONTROLS + 1

  /** True only when the whole system starts for the first time. */
  let isFirstStart = true
  const settings = (name, ip, isControl, service) => `NodeId = "${name}"
Role = "${isControl ? 'control' : 'node'}"
NodeClass = "${isControl ? 'core' : 'sidecar'}"
Serves = ["${isControl ? 'control_plane' : 'sidecar'}"]
Ip = "${ip}"
Zone = "akur-a"
Region = "nordurland"
InternalPorts = [${port}, ${port + 15}]
SeedNodes = [${controls.slice(0, 3).map((seed) => `"${seed}:${port + 16}"`).join(', ')}]
Bootstrap = ${isFirstStart}
InTolerance = ${isControl}
Discovery = "local"
EntryMode = "local"
HeartbeatIntervalMs = ${HEARTBEAT_MS}
Contracts = ["base", "drain", "config", "cost", "retry", "recover", "pressure"]
Bounds = [${Object.entries(BOUNDS).map(([key, value]) => `"${key}=${value}"`).join(', ')}]
${isControl ? `DataDir = "${join(dir, name)}"` : `AppAddr = "${ip}:${port + 19}"\nService = "${service}"`}
[Zones]
akur-a = "nordurland"
[ListenAddrs]
${isControl ? '' : `Inbound = "${ip}:${port + 15}"\nOutbound = "${ip}:${port + 17}"\nReadiness = "${ip}:${port + 18}"`}
Admin = "${ip}:${port + 16}"
[Limits]
CpuShare = 0.54
CpuCores = 2
MemoryMb = 350
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = ${isControl ? 256 : 0}
[FaultTolerance]
Nodes = ${LOST_DISKS}
Zones = 0
Regions = 0
`
  const settingsFile = (name) => join(dir, `${name}.toml`)
  const startProcess = (name, ip, role, service) => {
    const file = settingsFile(name)
    writeFileSync(file, settings(name, ip, role === 'control', service))
    if (role === 'control') mkdirSync(join(dir, name), { recursive: true })
    const [program, ...words] = commandOf(role)
    const log = openSync(join(process.env.LOGS ?? dir, `${name}.log`), 'a')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, words, { cwd: REPO, env: { PATH, HOME, LANG, ORIOLESLIP_CONFIG: file }, stdio: ['ignore', log, log] })
    children.set(name, child)
    note(`started ${name} (${role})`)
    return child
  }
  const cores = controls.map((ip, i) => {
    const core = { name: `core-${i + 1}`, api: `${ip}:${port + 16}`, ends: [], child: undefined }
    const start = () => {
      core.child = startProcess(core.name, ip, 'control')
      core.child.once('exit', (code, signal) => {
        if (closing.isClosing) return
        core.ends.push({ code, signal })
        note(`${core.name} has ended by itself (code ${code}, signal ${signal})`)
        // DEPLOY.md: a process that exits is restarted after a short delay.
        setTimeout(() => { if (!closing.isClosing) start() }, RESTART_DELAY_MS)
      })
    }
    start()
    return core
  })

  const fleet = {
    note,
    cores,
    firstStartOver: () => { isFirstStart = false },
    closers,
    /** Starts the node of a machine whose server is of `service`. */
    startNode: (name, service) => {
      const ip = `${prefix}.${nextIp++}`
      const machine = {
        name,
        ip,
        service,
        outbound: `${ip}:${port + 17}`,
        admin: `${ip}:${port + 16}`,
        readiness: `${ip}:${port + 18}`,
        app: `${ip}:${port + 19}`,
        child: startProcess(name, ip, 'node', service),
        /** Another service gets the address of the server: the settings file of the machine names it from now on. */
        setService: (other) => {
          machine.service = other
          writeFileSync(settingsFile(name), settings(name, ip, false, other))
          note(`the settings file of ${name} names the service ${other}`)
        },
        signal: (signal) => { note(`${signal} to ${name}`); machine.child.kill(signal) },
        isReady: async () => (await call(machine.readiness, { path: '/ready', timeoutMs: 1000 })).status === 200
      }
      return machine
    },
    /** Sends a desired state until it is acknowledged. */
    configure: async (version, base, listeners, services) => {
      const config = {
        Version: version.toString(16).padStart(8, '0'),
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 67_108_864, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
        BaseVersion: base.toString(16).padStart(8, '0'),
        Listeners: listeners,
        Clusters: services.map((name) => ({ Name: name, HealthPath: '/health', MaxConnections: 484, Protocol: 'h1', Tls: false }))
      }
      for (let attempt = 0; attempt < 100; attempt++) {
        const { status } = await call(`${controls[attempt % CONTROLS]}:${port + 16}`, { method: 'PUT', path: '/config', ...json(config) })
        if (status === 200) return note(`desired state ${config.Version} acknowledged`)
        await sleep(200)
      }
      throw new Error('the desired state was not acknowledged')
    },
    until: async (what, check) => {
      for (let i = 0; i < 300; i++) {
        if (await check()) return note(`reached: ${what}`)
        await sleep(100)
      }
      throw new Error(`timed out: ${what}`)
    }
  }
  return fleet
}

/**
 * A stand-in server as PROTOCOL.md describes it. `work(req, res, run, later)` answers a request that runs; `later(ms, act)` does nothing
 * once the server is silent. Requests beyond `slots` wait in a queue. `runs` lists what ran.
 */
export function createAppServer ({ note, closers }, machine, { id, service, slots, work, queue = 108 }) {
  const [host, port] = machine.app.split(':')
  const runs = []
  const waiting = []
  const sockets = new Set()
  const born = Date.now()
  let busy = 0
  let sequence = 0
  let state = 'ready'
  let beat
  let isDark = false
  const start = (job) => {
    busy++
    const { req, res } = job
    const requestId = String(req.headers['orioleslip-request-id'])
    const run = { requestId, service, instance: id, path: req.url, method: req.method, caller: req.headers['orioleslip-caller-service'], arrivedMs: job.arrivedMs, startedMs: Date.now() }
    runs.push(run)
    note(`${service} ${id} runs ${requestId} (${req.method} ${req.url}, expected instance ${req.headers['orioleslip-expected-instance'] ?? 'none'})`)
    let ended = false
    const finish = () => {
      if (ended) return
      ended = true
      busy--
      if (waiting.length > 0 && !isDark) start(waiting.shift())
    }
    res.on('close', finish)
    res.setHeader('Orioleslip-Request-Id', requestId)
    res.setHeader('Orioleslip-Server-Signature', `${service}.${id}.${requestId}`)
    work(req, res, run, (ms, act) => setTimeout(() => { if (!isDark) act() }, ms))
  }
  const reject = (req, res, status) => {
    res.writeHead(status, { 'Orioleslip-Not-Executed': '1', 'Orioleslip-Request-Id': String(req.headers['orioleslip-request-id']), 'content-length': 0 })
    res.end()
  }
  const server = createHttpServer({ keepAliveTimeout: 10_000 }, (req, res) => {
    if (isDark) return
    if (req.url === '/health') return res.writeHead(state === 'ready' ? 200 : 503, { 'Orioleslip-Instance-Id': id, 'content-length': 0 }).end()
    const arrivedMs = Date.now()
    const chunks = []
    req.on('data', (chunk) => chunks.push(chunk))
    req.on('end', () => {
      if (isDark) return
      const expected = req.headers['orioleslip-expected-instance']
      note(`${service} ${id} got ${req.headers['orioleslip-request-id']}`)
      if (expected !== undefined && expected !== id) return reject(req, res, 421)
      if (busy < slots) return start({ req, res, arrivedMs })
      if (waiting.length >= queue) return reject(req, res, 503)
      waiting.push({ req, res, arrivedMs })
    })
  })
  server.on('connection', (socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    socket.on('error', () => {})
  })
  const ping = async () => {
    if (isDark) return 0
    const body = { Address: machine.app, born, Info: { Service: service, Version: 'v1', Zone: 'akur-a', Concurrency: slots }, Status: { State: state, Sequence: ++sequence, WarmupLeftMs: 0 } }
    const { status } = await call(machine.admin, { method: 'PUT', path: `/instances/${id}`, ...json(body), timeoutMs: 1000 })
    return status
  }
  const app = {
    id,
    runs,
    start: async () => {
      server.listen(Number(port), host)
      await once(server, 'listening')
      const status = await ping()
      note(`${service} ${id} started at its machine ${machine.name}; first ping: ${status}`)
      beat = setInterval(ping, HEARTBEAT_MS)
      return status
    },
    ping,
    /** Says that it leaves; resolves with the time of the ack. */
    drain: async () => {
      state = 'draining'
      const status = await ping()
      note(`${service} ${id} says draining: ${status}`)
      return status === 200 ? Date.now() : undefined
    },
    /** Falls silent for good: it reads nothing, answers nothing, and its port is free again; its open connections stay as they are. */
    goDark: async () => {
      note(`${service} ${id} falls silent`)
      isDark = true
      clearInterval(beat)
      for (const socket of sockets) socket.pause()
      server.close()
      await sleep(50)
    },
    stop: () => {
      clearInterval(beat)
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
  closers.push(app.stop)
  return app
}

/** Headers of a client's request. */
export const clientHeaders = (host, requestId, deadlineMs = 6000) => ({
  Host: host, 'Orioleslip-Request-Id': requestId, 'Orioleslip-Deadline-Ms': String(deadlineMs)
})

/** Bytes of a client's request without a body. */
export const requestBytes = (method, path, headers) =>
  `${method} ${path} HTTP/1.1\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`

/** A raw client connection; collects what arrives and how the connection ends. */
export async function openConnection (address) {
  const [host, port] = address.split(':')
  const socket = connect({ host, port: Number(port), noDelay: true })
  const connection = { socket, bytes: Buffer.alloc(0), end: undefined, ended: undefined }
  connection.ended = new Promise((resolve) => {
    const finish = (how) => {
      connection.end ??= how
      resolve(connection.end)
    }
    socket.on('data', (chunk) => { connection.bytes = Buffer.concat([connection.bytes, chunk]) })
    socket.on('end', () => finish('closed'))
    socket.on('error', (cause) => finish(`reset (${cause.code})`))
    socket.on('close', () => finish('closed'))
  })
  await once(socket, 'connect')
  return connection
}
