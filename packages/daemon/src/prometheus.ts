import { createServer, type Server } from 'node:http'
import type { Settings } from '@orioleslip/core'
import type { MetricsSink } from '@orioleslip/node'
import { err, ok, type Result } from 'neverthrow'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Upper bounds of the latency buckets, in ms; call deadlines range from 100 ms to several seconds. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000]
/** Maximum number of label sets per metric; further ones are counted under `other`, so that a scrape stays small. */
const MAX_LABEL_SETS = 200
const OVERFLOW_LABEL = 'other'

/** Metrics of this process in the text format of Prometheus. */
export type PrometheusMetrics = { sink: MetricsSink, text: () => Promise<string> }

/** Prometheus name of a metric: `control.lists.term` becomes `orioleslip_control_lists_term`. */
const prometheusName = (name: string) => `orioleslip_${name.replaceAll(/[.-]/g, '_')}`

/** Creates a function that returns the labels of a value, replaced by `other` beyond the limit of label sets. */
function createLabelLimiter () {
  const known = new Map<string, Set<string>>()
  return (name: string, tags: Record<string, string>): Record<string, string> => {
    const sets = known.get(name) ?? new Set()
    known.set(name, sets)
    const key = Object.values(tags).join('\0')
    if (sets.has(key)) return tags
    if (sets.size < MAX_LABEL_SETS) {
      sets.add(key)
      return tags
    }
    return Object.fromEntries(Object.keys(tags).map((label) => [label, OVERFLOW_LABEL]))
  }
}

/** Creates the metrics of a process; each is exported once it has a value. */
export function createPrometheusMetrics ({ vm, role }: Pick<Settings, 'vm' | 'role'>): PrometheusMetrics {
  const registry = new Registry()
  registry.setDefaultLabels({ vm: vm.id, region: vm.region, failure_domain: vm.failureDomain, role })
  const counters = new Map<string, Counter>()
  const histograms = new Map<string, Histogram>()
  const gauges = new Map<string, Gauge>()
  const limitLabels = createLabelLimiter()

  function getOrCreate<T> (known: Map<string, T>, name: string, create: () => T): T {
    const existing = known.get(name)
    if (existing !== undefined) return existing
    const created = create()
    known.set(name, created)
    return created
  }
  const help = (name: string) => `docs/metrics.md, ${name}`
  const registers = [registry]

  return {
    sink: {
      increment: (name, value, tags) => {
        const create = () => new Counter({ name: `${prometheusName(name)}_total`, help: help(name), labelNames: Object.keys(tags), registers })
        getOrCreate(counters, name, create).inc(limitLabels(name, tags), value)
      },
      timing: (name, ms, tags) => {
        const labelNames = Object.keys(tags)
        const create = () => new Histogram({ name: prometheusName(name), help: help(name), labelNames, buckets: BUCKETS_MS, registers })
        getOrCreate(histograms, name, create).observe(limitLabels(name, tags), ms)
      },
      gauge: (name, value) => {
        getOrCreate(gauges, name, () => new Gauge({ name: prometheusName(name), help: help(name), registers })).set(value)
      }
    },
    text: () => registry.metrics()
  }
}

/** Combines sinks into one that passes each value to all of them; undefined when there are none. */
export function combineSinks (sinks: readonly MetricsSink[]): MetricsSink | undefined {
  if (sinks.length <= 1) return sinks[0]
  return {
    increment: (name, value, tags) => { for (const sink of sinks) sink.increment(name, value, tags) },
    timing: (name, ms, tags) => { for (const sink of sinks) sink.timing(name, ms, tags) },
    gauge: (name, value) => { for (const sink of sinks) sink.gauge(name, value) }
  }
}

/** Serves the metrics over HTTP at the configured address; the returned function stops the server. Fails when the port is taken. */
export async function servePrometheus (
  { vm, prometheus }: Pick<Settings, 'vm' | 'prometheus'>, metrics: PrometheusMetrics
): Promise<Result<() => void, string>> {
  if (prometheus === undefined) return ok(() => {})
  const server: Server = createServer((req, res) => {
    if (req.method !== 'GET' || req.url?.split('?')[0] !== prometheus.path) {
      res.writeHead(404).end()
      return
    }
    metrics.text().then(
      (text) => res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' }).end(text),
      (cause: unknown) => res.writeHead(500).end(String(cause))
    )
  })
  return await new Promise((resolve) => {
    server.once('error', (cause) => resolve(err(
      `cannot serve metrics on ${vm.address}:${prometheus.port}: ${cause.message}; stop the other process or change prometheus.port`
    )))
    server.listen(prometheus.port, vm.address, () => resolve(ok(() => {
      server.close()
      server.closeAllConnections()
    })))
  })
}
