import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import { request } from 'undici'
import { createPrometheusMetrics, joinSinks, servePrometheus } from './prometheus.js'

const PROCESS = { vm: { id: 'vm-1', address: '127.0.0.1', region: 'r1', failureDomain: 'a' }, role: 'node' as const }

async function takePort (): Promise<{ server: Server, port: number }> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { server, port: (server.address() as AddressInfo).port }
}

// Guards against values that operators' tools can't read, or that stand under another name or unit than docs/metrics.md says.
test('counters, histograms and gauges are on the page, with what the process is', async (t) => {
  const metrics = createPrometheusMetrics(PROCESS)
  const both = joinSinks([metrics.sink, { increment: () => {}, timing: () => {}, gauge: () => {} }])!
  both.increment('calls', 2, { service: 'shop', result: '2xx' })
  both.increment('calls', 1, { service: 'shop', result: '2xx' })
  both.timing('call_ms', 30, { service: 'shop' })
  both.gauge('control.lists.term', 7)
  const text = await metrics.text()
  const labels = 'vm="vm-1",region="r1",failure_domain="a",role="node"'
  t.true(text.includes(`orioleslip_calls_total{service="shop",result="2xx",${labels}} 3`), text)
  t.true(text.includes(`orioleslip_call_ms_bucket{le="50",${labels},service="shop"} 1`), text)
  t.true(text.includes(`orioleslip_call_ms_bucket{le="20",${labels},service="shop"} 0`), text)
  t.true(text.includes(`orioleslip_control_lists_term{${labels}} 7`), text)
})

// Guards against a page that grows with every service and result that was ever seen.
test('sets of labels are bounded, and nothing is lost from the sum', async (t) => {
  const metrics = createPrometheusMetrics(PROCESS)
  for (let i = 0; i < 1000; i++) metrics.sink.increment('calls', 1, { service: `s${i}`, result: '2xx' })
  const rows = (await metrics.text()).split('\n').filter((row) => row.startsWith('orioleslip_calls_total'))
  t.is(rows.length, 201)
  t.is(rows.reduce((sum, row) => sum + Number(row.split(' ').at(-1)), 0), 1000)
})

// Guards against a page at another path than the settings name, and against a taken port that is passed over in silence.
test('the page is served at the address of the settings', async (t) => {
  const { server, port } = await takePort()
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
