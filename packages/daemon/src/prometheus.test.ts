import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import { request } from 'undici'
import { createPrometheusMetrics, combineSinks, servePrometheus } from './prometheus.js'

const PROCESS = { vm: { id: 'vm-1', address: '127.0.0.1', region: 'r1', failureDomain: 'a' }, role: 'node' as const }

async function occupyPort (): Promise<{ server: Server, port: number }> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { server, port: (server.address() as AddressInfo).port }
}

// Guards against values that Prometheus can't parse, or whose name or unit differs from docs/metrics.md because of the name conversion.
test('counters, histograms and gauges are exported with the labels of the process', async (t) => {
  const metrics = createPrometheusMetrics(PROCESS)
  const combined = combineSinks([metrics.sink, { increment: () => {}, timing: () => {}, gauge: () => {} }])!
  combined.increment('calls', 2, { service: 'shop', result: '2xx' })
  combined.increment('calls', 1, { service: 'shop', result: '2xx' })
  combined.timing('call_ms', 30, { service: 'shop' })
  combined.gauge('control.lists.term', 7)
  const text = await metrics.text()
  const labels = 'vm="vm-1",region="r1",failure_domain="a",role="node"'
  t.true(text.includes(`orioleslip_calls_total{service="shop",result="2xx",${labels}} 3`), text)
  t.true(text.includes(`orioleslip_call_ms_bucket{le="50",${labels},service="shop"} 1`), text)
  t.true(text.includes(`orioleslip_call_ms_bucket{le="20",${labels},service="shop"} 0`), text)
  t.true(text.includes(`orioleslip_control_lists_term{${labels}} 7`), text)
})

// Guards against a metrics page that grows without limit because each new service or result adds a label set, and against uncounted values.
test('label sets are limited and their sum is complete', async (t) => {
  const metrics = createPrometheusMetrics(PROCESS)
  for (let i = 0; i < 1000; i++) metrics.sink.increment('calls', 1, { service: `s${i}`, result: '2xx' })
  const rows = (await metrics.text()).split('\n').filter((row) => row.startsWith('orioleslip_calls_total'))
  t.is(rows.length, 201)
  t.is(rows.reduce((sum, row) => sum + Number(row.split(' ').at(-1)), 0), 1000)
})

// Guards against metrics served at another path than the configured one, and against a taken port that is not reported, so that another
// process's page is scraped.
test('the metrics are served at the configured address', async (t) => {
  const { server, port } = await occupyPort()
  const metrics = createPrometheusMetrics(PROCESS)
  const settings = { ...PROCESS, prometheus: { port, path: '/metrics' } }
  t.regex((await servePrometheus(settings, metrics))._unsafeUnwrapErr(), /change prometheus\.port/)
  await new Promise((resolve) => server.close(resolve))
  const stop = (await servePrometheus(settings, metrics))._unsafeUnwrap()
  t.teardown(stop)
  metrics.sink.gauge('target_limit', 5)
  const page = await request(`http://127.0.0.1:${port}/metrics`)
  t.is(page.statusCode, 200)
  t.regex(await page.body.text(), /^orioleslip_target_limit\{.*\} 5$/m)
  t.is((await request(`http://127.0.0.1:${port}/other`)).statusCode, 404)
})
