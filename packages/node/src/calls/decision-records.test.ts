import test from 'ava'
import { createDecisionRecords, type DecisionRecord } from './decision-records.js'

const LONG_TEXT = 'x'.repeat(60_000)
const MAX_RECORD_CHARS = 4096

const record = (fields: Partial<DecisionRecord>): DecisionRecord => ({
  requestId: 'r',
  traceId: 't',
  wallMs: 1,
  customer: 'c',
  service: 's',
  opKey: 'o',
  priority: 1,
  entry: true,
  status: 200,
  outcome: 'complete',
  detail: '',
  admissionLevel: 0,
  attempts: [],
  durationMs: 1,
  regionBytes: 0,
  ...fields
})

// Guards against memory that grows with the length of paths and customers that callers choose, although the number of records is limited.
test('a record keeps the start of long texts only', (t) => {
  const records = createDecisionRecords(10)
  records.add(record({ customer: LONG_TEXT, opKey: LONG_TEXT, detail: LONG_TEXT }))
  records.add(record({ requestId: 'short', detail: 'as it is' }))
  const [kept] = records.find('r')
  t.true(JSON.stringify(kept).length < MAX_RECORD_CHARS)
  t.regex(kept!.opKey, /^x+\.\.\. \(60000 characters\)$/)
  t.is(records.find('short')[0]?.detail, 'as it is')
})
