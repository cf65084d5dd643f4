// Starts the processes of this project on loopback addresses, with the commands of the deploy file, and stand-ins for the platform:
// its settings files, its servers and its clients. Only Node.js itself is needed.
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, connect } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'

export { sleep }
const REPOSITORY = fileURLToPath(new URL('../..', import.meta.url))
/** False in the run without the disruption. */
export const TROUBLE = process.env.TROUBLE !== '0'
export const HEARTBEAT_MS = 1500
export const GRACE_MS = 6000

/** Exit code 2: the case could not be run. */
export class CannotRun extends Error {}

/** The command of a role in the deploy file, split at spaces. */
function commandOf (role) {
  const text = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8')
  const section = text.split(`[roles.${role}]`)[1] ?? ''
  const run = /^run = "(.*)"$/m.exec(section.split('\n[')[0])
  if (run === null) throw new CannotRun(`deploy/system.toml has no command of the role ${role}`)
  return run[1].split(' ')
}

/** Resolves with true if the port can be bound. */
async function isFree (host, port) {
  const server = createServer()
  return await new Promise((resolve) => {
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** Runs a case, writes its record, and exits with 1 if `play` returns false, with 0 if it returns true, and with 2 if it failed. */
export async function runCase (caseUrl, play) {
  const recordFile = join(dirname(fileURLToPath(caseUrl)), 'record.txt')
  writeFileSync(recordFile, `trouble: ${TROUBLE ? 'yes' : 'no'}\n`)
  const startMs = performance.now()
  const record = (text) => {
    const line = `${((performance.now() - startMs) / 1000).toFixed(3).padStart(7)} s  ${text}`
    console.log(line)
    appendFileSync(recordFile, line + '\n')
  }
  const fleet = createFleet(record)
  let code = 2
  // Whatever happens, no process is left behind.
  const abandon = async (cause) => {
    try {
      record(`the case could not be run: ${cause?.stack ?? cause}`)
    } finally {
      await fleet.end()
      process.exit(2)
    }
  }
  for (const event of ['uncaughtException', 'unhandledRejection', 'SIGTERM', 'SIGINT']) process.once(event, abandon)
  try {
    const held = await play(fleet, record)
    record(held ? 'the rule held' : 'THE RULE WAS BROKEN')
    code = held ? 0 : 1
  } catch (err) {
    record(`the case could not be run: ${err.stack ?? err}`)
  }
  await fleet.end()
  process.exit(code)
}

function createFleet (record) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const machines = []
  const servers = []
  const timers = []
  // A subnet of its own for each run, so that runs at the same time do not meet.
  const subnet = `127.${64 + process.pid % 64}.${1 + Math.floor(Math.random() * 250)}`
  const ports = { app: 8301, readiness: 8302, outbound: 8304, admin: 8306, internal: 7620 }
  let lastHost = 0

  const settingsOf = ({ name, ip, role, service, bootstrap }, seeds, controls) => [
    `NodeId = "${name}"`,
    `Role = "${role}"`,
    `NodeClass = "${role === 'node' ? 'sidecar' : 'core'}"`,
    `Serves = ["${role === 'node' ? 'sidecar' : 'control_plane'}"]`,
    `Ip = "${ip}"`,
    'Zone = "akur-a"',
    'Region = "nordurland"',
    `InternalPorts = [${ports.internal},${ports.internal + 15}]`,
    `SeedNodes = [${seeds.map((seed) => `"${seed}:${ports.admin}"`).join(',')}]`,
    `Bootstrap = ${bootstrap}`,
    'InTolerance = false',
    'Discovery = "local"',
    'EntryMode = "local"',
    `HeartbeatIntervalMs = ${HEARTBEAT_MS}`,
    'Contracts = ["base","drain","config","cost","retry","recover","pressure"]',
    'Bounds = ["SeedLagS=3","AddrReuseS=2","ContactMs=3000","AckMs=4000","SyncS=4","DrainMs=2500","GraceS=6","LossSlackMs=200","ConfigApplyMs=2500","RollbackSlackMs=250","MaxStretchMs=5000","RetryBudgetRatio=0.2","BudgetWindowS=10","RetryBudgetExtra=47","RecoveryS=15"]',
    ...(role === 'node' ? [`AppAddr = "${ip}:${ports.app}"`, `Service = "${service}"`] : [`DataDir = "${join(folder, name)}"`]),
    '[Zones]', 'akur-a = "nordurland"',
    '[ListenAddrs]',
    ...(role === 'node' ? [`Outbound = "${ip}:${ports.outbound}"`, `Readiness = "${ip}:${ports.readiness}"`] : []),
    `Admin = "${ip}:${ports.admin}"`,
    '[Limits]', 'CpuShare = 0.54', 'CpuCores = 2', 'MemoryMb = 350', 'MaxFds = 4100', 'LinkMbps = 1000.0', `DiskMb = ${role === 'node' ? 0 : 256}`,
    '[FaultTolerance]', `Nodes = ${(controls - 1) / 2}`, 'Zones = 0', 'Regions = 0', ''
  ].join('\n')

  /** Starts the process of a machine, or starts it again. */
  const startProcess = (machine) => {
    const file = join(folder, `${machine.name}.toml`)
    writeFileSync(file, settingsOf(machine, machine.seeds, machine.controls))
    const [program, ...args] = commandOf(machine.role)
    const child = spawn(program, args, {
      cwd: REPOSITORY, env: { PATH: process.env.PATH, HOME: process.env.HOME ?? '/', ORIOLESLIP_CONFIG: file }, stdio: ['ignore', 'pipe', 'pipe']
    })
    machine.log ??= []
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding('utf8').on('data', (text) => { machine.log.push(...text.split('\n').filter(Boolean)) })
    }
    machine.process = child
    machine.exited = undefined
    child.once('exit', (code, signal) => { machine.exited = signal ?? `code ${code}` })
    record(`${machine.name} (${machine.ip}) is started`)
  }

  const fleet = {
    ports,
    /** Starts control machines, then nodes beside servers of the given services, and waits until all nodes are ready. */
    start: async ({ controls = 3, services, config }) => {
      const addressOf = () => `${subnet}.${++lastHost}`
      const controlMachines = Array.from({ length: controls }, (_, i) => ({ name: `core-${i + 1}`, role: 'control', ip: addressOf() }))
      const nodes = services.map((service, i) => ({ name: `sidecar-${i + 1}`, role: 'node', ip: addressOf(), service }))
      const seeds = controlMachines.slice(0, 3).map(({ ip }) => ip)
      for (const machine of [...controlMachines, ...nodes]) {
        for (const port of [...Object.values(ports), ports.internal + 2]) {
          if (!await isFree(machine.ip, port)) throw new CannotRun(`${machine.ip}:${port} is not free`)
        }
        machines.push(Object.assign(machine, { seeds, controls, bootstrap: true }))
        startProcess(machine)
      }
      for (const machine of machines) machine.bootstrap = false
      await until('the configuration is acknowledged', 20_000, async () => {
        const status = await putJson(`${controlMachines[0].ip}:${ports.admin}`, '/config', config).catch(() => 0)
        return status === 200
      })
      record('the configuration is acknowledged')
      await until('all nodes are ready', 20_000, async () => {
        const states = await Promise.all(nodes.map((node) => fleet.isReady(node)))
        return states.every(Boolean)
      })
      return { controls: controlMachines, nodes }
    },
    startProcess,
    /** Writes the settings file of a machine again. */
    writeSettings: (machine) => writeFileSync(join(folder, `${machine.name}.toml`), settingsOf(machine, machine.seeds, machine.controls)),
    /** One check of the platform: true for a response with status 200. */
    isReady: async (node) => {
      const answer = await exchange(`${node.ip}:${ports.readiness}`, 'GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n', 1000).catch(() => '')
      return answer.startsWith('HTTP/1.1 200')
    },
    signal: (machine, signal) => {
      record(`${signal} to ${machine.name}`)
      machine.process.kill(signal)
    },
    /** The platform's stop of a machine: SIGTERM, then SIGKILL after the grace. */
    stop: (machine) => {
      fleet.signal(machine, 'SIGTERM')
      const stopped = machine.process
      timers.push(setTimeout(() => {
        if (machine.process === stopped && machine.exited === undefined) fleet.signal(machine, 'SIGKILL')
      }, GRACE_MS))
    },
    /** Starts a server beside a node; `answer` gets the parsed request and writes the response. It announces itself to the node. */
    startServer: async (node, { concurrency, answer, id = `i-${node.name}` }) => {
      const server = createStandInServer(node, { id, concurrency, answer, ports, record })
      await server.listen()
      servers.push(server)
      return server
    },
    end: async () => {
      for (const timer of timers) clearTimeout(timer)
      for (const server of servers) server.end()
      const running = machines.filter((machine) => machine.process !== undefined && machine.exited === undefined)
      await Promise.all(running.map(async ({ process: child }) => {
        const exited = once(child, 'exit')
        child.kill('SIGKILL')
        await exited
      }))
      rmSync(folder, { recursive: true, force: true })
    }
  }
  return fleet
}

/** Polls until `check` is true. */
export async function until (what, limitMs, check) {
  const endMs = performance.now() + limitMs
  while (!await check()) {
    if (performance.now() > endMs) throw new CannotRun(`timed out: ${what}`)
    await sleep(50)
  }
}

/** Sends bytes on a new connection and resolves with all that comes back until its end. */
export function exchange (address, text, timeoutMs) {
  const [host, port] = address.split(':')
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host, () => socket.write(text))
    let answer = ''
    const timer = setTimeout(() => socket.destroy(new Error('no answer in time')), timeoutMs)
    socket.setEncoding('latin1').on('data', (part) => { answer += part })
    socket.on('error', reject)
    socket.on('close', () => {
      clearTimeout(timer)
      resolve(answer)
    })
  })
}

/** Sends JSON with PUT; resolves with the status. */
export async function putJson (address, path, value) {
  const body = JSON.stringify(value)
  const text = `PUT ${path} HTTP/1.1\r\nhost: ${address}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
  return Number(/^HTTP\/1\.1 (\d+)/.exec(await exchange(address, text, 2000))?.[1] ?? 0)
}

/** A desired state with one route for each entry of `routes`: [host, prefix, type, service, timeoutMs, priority]. */
export function configOf (version, base, routes) {
  const services = [...new Set(routes.map(([, , , service]) => service))]
  const hosts = [...new Set(routes.map(([host]) => host))]
  return {
    Version: version,
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
    BaseVersion: base,
    Listeners: hosts.map((Host) => ({
      Host,
      Rules: routes.filter(([host]) => host === Host).map(([, PathPrefix, RouteType, Service, TimeoutMs, Priority]) => ({
        Name: `r-${PathPrefix.replaceAll('/', '')}`,
        RouteType,
        TargetLatencyMs: 1500,
        Priority,
        Match: { PathPrefix },
        Action: { Service, TimeoutMs, MaxAttempts: 2 }
      }))
    })),
    Clusters: services.map((Name) => ({ Name, HealthPath: '/health', MaxConnections: 718, Protocol: 'h1', Tls: false }))
  }
}

/**
 * A sound server of the platform: it runs `concurrency` requests at once and queues a few more, echoes ids, answers 421 to a request for
 * another instance, drops a request whose connection closes, and sends pings to the node on its machine.
 */
function createStandInServer (node, { id, concurrency, answer, ports, record }) {
  const { service } = node
  const born = Date.now()
  const sockets = new Set()
  const queue = []
  /** Ids of the requests that began to run, in order. */
  const ran = []
  let running = 0
  let sequence = 0
  let timer

  const next = () => {
    while (running < concurrency && queue.length > 0) {
      const request = queue.shift()
      if (request.socket.destroyed) continue
      running++
      ran.push(request.id)
      record(`server ${id} runs ${request.id}`)
      let ended = false
      const end = () => {
        if (ended) return
        ended = true
        request.socket.off('close', end)
        request.endedMs = performance.now()
        running--
        next()
      }
      request.socket.once('close', end)
      request.end = end
      answer(request)
    }
  }
  const refuse = (socket, request, status, extra) =>
    socket.write(`HTTP/1.1 ${status}\r\nOrioleslip-Request-Id: ${request.id}\r\n${extra}Content-Length: 0\r\n\r\n`)
  const receive = (socket, head, body) => {
    const [first, ...lines] = head.split('\r\n')
    const [method, path] = first.split(' ')
    const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
    const request = { socket, method, path, headers, body, id: headers['orioleslip-request-id'], serverId: id }
    if (path === '/health') return socket.write(`HTTP/1.1 200 OK\r\nOrioleslip-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`)
    if ((headers['orioleslip-expected-instance'] ?? id) !== id) return refuse(socket, request, '421 Misdirected Request', `Orioleslip-Instance-Id: ${id}\r\n`)
    if (queue.length >= 2 * concurrency) return refuse(socket, request, '503 Service Unavailable', 'Orioleslip-Not-Executed: 1\r\n')
    queue.push(request)
    next()
  }
  const server = createServer((socket) => {
    sockets.add(socket)
    let data = Buffer.alloc(0)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
    socket.on('data', (part) => {
      data = Buffer.concat([data, part])
      for (;;) {
        const headEnd = data.indexOf('\r\n\r\n')
        if (headEnd < 0) return
        const head = data.toString('latin1', 0, headEnd)
        const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0)
        if (data.length < headEnd + 4 + length) return
        const body = data.subarray(headEnd + 4, headEnd + 4 + length)
        data = data.subarray(headEnd + 4 + length)
        receive(socket, head, body)
      }
    })
  })
  const nextPing = (State = 'ready') => ({
    Address: `${node.ip}:${ports.app}`,
    born,
    Info: { Service: service, Version: 'v1', Zone: 'akur-a', Concurrency: concurrency },
    Status: { State, Sequence: ++sequence, WarmupLeftMs: 0 }
  })
  const send = (ping) => putJson(`${node.ip}:${ports.admin}`, `/instances/${id}`, ping).catch(() => 0)
  const ping = (State) => send(nextPing(State))

  return {
    id,
    ran,
    ping,
    /** Makes the next ping, which is sent by `sendPing`, maybe late; resolves with the status, 0 without an answer. */
    nextPing,
    sendPing: send,
    /** No further ping is sent by itself. */
    stopPings: () => clearInterval(timer),
    /** Tells the node that the server leaves; resolves with the status. */
    withdraw: async () => {
      const text = `DELETE /instances/${id} HTTP/1.1\r\nhost: ${node.ip}\r\nconnection: close\r\n\r\n`
      const answer = await exchange(`${node.ip}:${ports.admin}`, text, 1000).catch(() => '')
      return Number(/^HTTP\/1\.1 (\d+)/.exec(answer)?.[1] ?? 0)
    },
    running: () => running,
    listen: async () => {
      server.listen(ports.app, node.ip)
      await once(server, 'listening')
      await ping()
      timer = setInterval(() => { ping() }, HEARTBEAT_MS)
    },
    end: () => {
      clearInterval(timer)
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

/** Answers a request of a server with a whole body of known length, after `workMs`. */
export async function answerWhole (request, workMs, body, extraHeaders = '') {
  await sleep(workMs)
  if (!request.socket.destroyed) {
    request.socket.write(`HTTP/1.1 200 OK\r\nOrioleslip-Request-Id: ${request.id}\r\nOrioleslip-Server-Signature: sig.${request.id}\r\n${extraHeaders}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n`)
    request.socket.write(body)
  }
  request.end()
}

/** A client's kept connection to a node; it sends one request at a time. */
export function openClient (address) {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  let data = Buffer.alloc(0)
  let wake = () => {}
  const state = { ended: undefined }
  socket.on('data', (part) => {
    data = Buffer.concat([data, part])
    wake()
  })
  socket.on('error', (err) => { state.ended ??= err.code === 'ECONNREFUSED' ? 'not connected' : `reset (${err.code})` })
  // Node.js reports a reset that arrives with the last bytes as the end of the connection; such a connection has no peer any more.
  socket.on('end', () => { state.ended ??= socket.remoteAddress === undefined ? 'reset' : 'closed in order' })
  socket.on('close', () => {
    state.ended ??= 'closed'
    wake()
  })
  const parse = () => {
    const headEnd = data.indexOf('\r\n\r\n')
    if (headEnd < 0) return undefined
    const head = data.toString('latin1', 0, headEnd)
    const status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1])
    const length = /^content-length: *(\d+)/im.exec(head)?.[1]
    const isChunked = /^transfer-encoding: *chunked/im.test(head)
    const body = data.subarray(headEnd + 4)
    const answer = (isWhole, bytes) => ({ status, head, body: bytes, isWhole, ended: state.ended })
    if (isChunked) {
      const isWhole = body.toString('latin1', Math.max(0, body.length - 5)) === '0\r\n\r\n'
      return isWhole || state.ended !== undefined ? answer(isWhole, body) : undefined
    }
    if (length === undefined) return state.ended === undefined ? undefined : answer(state.ended === 'closed in order', body)
    if (body.length >= Number(length)) return answer(true, body.subarray(0, Number(length)))
    return state.ended === undefined ? undefined : answer(false, body)
  }
  return {
    socket,
    isOpen: () => state.ended === undefined,
    /** Sends a request; resolves with its answer, or with `{ ended }` if the connection ended, or `{ timedOut }`. */
    send: async ({ method = 'GET', host: name, path, id, deadlineMs, body = '' }, timeoutMs = deadlineMs) => {
      data = Buffer.alloc(0)
      const length = method === 'GET' ? '' : `Content-Length: ${Buffer.byteLength(body)}\r\n`
      socket.write(`${method} ${path} HTTP/1.1\r\nHost: ${name}\r\nOrioleslip-Request-Id: ${id}\r\nOrioleslip-Deadline-Ms: ${deadlineMs}\r\n${length}\r\n${body}`)
      const endMs = performance.now() + timeoutMs
      for (;;) {
        const answer = parse()
        if (answer !== undefined) return answer
        if (state.ended !== undefined) return { ended: state.ended }
        const leftMs = endMs - performance.now()
        if (leftMs <= 0) return { timedOut: true, received: data.length }
        await new Promise((resolve) => {
          const timer = setTimeout(resolve, leftMs)
          wake = () => {
            clearTimeout(timer)
            resolve()
          }
        })
      }
    },
    close: () => socket.destroy()
  }
}
