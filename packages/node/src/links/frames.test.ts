import test from 'ava'
import fc from 'fast-check'
import { createFrameDecoder, encodeFrame, MAX_FRAME_BYTES, type Frame } from './frames.js'

const bytesArb = fc.uint8Array({ minLength: 1, maxLength: 2000 }).map((bytes) => Buffer.from(bytes))
const rateArb = fc.record({ perSecond: fc.double({ min: 0.5, max: 1e6, noNaN: true }), load: fc.double({ min: 0, max: 1e6, noNaN: true }) })
const loadArb = fc.record(
  { level: fc.nat(255), inFlight: fc.nat(), queued: fc.nat(), limit: fc.nat(), rate: rateArb },
  { requiredKeys: ['level', 'inFlight', 'queued', 'limit'] }
)
const reportArb = fc.record(
  { pathLevel: fc.nat(255), regionBytes: fc.nat(), reachedTarget: fc.constant(true), load: loadArb, leavingProcess: fc.nat() },
  { requiredKeys: ['pathLevel', 'regionBytes'] }
)
const refusalArb = fc.record(
  { code: fc.constant('overloaded' as const), outcome: fc.constantFrom('not-run' as const, 'unknown' as const), detail: fc.string(), retryAfterS: fc.nat() },
  { requiredKeys: ['code', 'outcome', 'detail'] }
)
const headArb = fc.record({
  root: fc.record({
    requestId: fc.string(),
    traceId: fc.string(),
    customer: fc.string(),
    entryOpKey: fc.string(),
    priority: fc.nat(255),
    ledger: fc.record({ host: fc.string(), port: fc.nat(65_535) }),
    region: fc.string()
  }),
  service: fc.string(),
  method: fc.string(),
  path: fc.string(),
  headers: fc.array(fc.string()),
  opKey: fc.string(),
  remainingMs: fc.double({ min: 0, max: 1e6, noNaN: true }),
  traceFlags: fc.string(),
  deferBody: fc.boolean(),
  bodyBytes: fc.nat(),
  leavingProcess: fc.nat(),
  fingerprint: fc.nat(),
  claim: fc.record({ key: fc.string(), token: fc.string() })
}, { requiredKeys: ['root', 'service', 'method', 'path', 'headers', 'opKey', 'remainingMs', 'traceFlags', 'deferBody'] })

const frameArb: fc.Arbitrary<Frame> = fc.record({
  stream: fc.nat(),
  msg: fc.oneof(
    bytesArb.map((chunk) => ({ type: 'data' as const, chunk })),
    bytesArb.map((chunk) => ({ type: 'responseData' as const, chunk })),
    fc.constant({ type: 'end' as const }),
    fc.record({ type: fc.constant('head' as const), head: headArb, sentMs: fc.nat() }, { requiredKeys: ['type', 'head'] }),
    reportArb.map((report) => ({ type: 'responseEnd' as const, report })),
    fc.record({ type: fc.constant('refuse' as const), refusal: refusalArb, report: reportArb }),
    fc.nat().map((bytes) => ({ type: 'credit' as const, bytes })),
    fc.record({ type: fc.constant('responseHead' as const), head: fc.record({ status: fc.nat(599), headers: fc.array(fc.string()) }) })
  )
})

// Guards against frames that are lost or corrupted when TCP delivers them split or joined, and against fields that are encoded wrongly.
test('frames are decoded correctly however the byte stream is split', (t) => {
  fc.assert(fc.property(fc.array(frameArb, { maxLength: 20 }), fc.integer({ min: 1, max: 700 }), (frames, step) => {
    const bytes = Buffer.concat(frames.flatMap((frame) => encodeFrame(frame.stream, frame.msg)))
    const seen: Frame[] = []
    const decode = createFrameDecoder((frame) => seen.push(frame))
    for (let at = 0; at < bytes.length; at += step) decode(bytes.subarray(at, at + step))
    t.deepEqual(JSON.parse(JSON.stringify(seen)), JSON.parse(JSON.stringify(frames)))
  }), { seed: 7, numRuns: 50 })
})

// Guards against unbounded buffering: with a corrupt length field the decoder would wait for up to 4 GiB before it decodes the frame.
test('oversized frames and unknown types are rejected', (t) => {
  const decode = createFrameDecoder(() => {})
  const header = Buffer.alloc(9)
  header.writeUInt32BE(MAX_FRAME_BYTES + 1, 0)
  t.throws(() => decode(header), { message: /exceeds the limit/ })
  const unknown = Buffer.alloc(9)
  unknown.writeUInt8(99, 4)
  t.throws(() => createFrameDecoder(() => {})(unknown), { message: /unknown frame type 99/ })
})
