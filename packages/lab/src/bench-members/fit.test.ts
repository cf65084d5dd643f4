import test from 'ava'
import { fitLine } from './fit.js'

// Guards against predictions from a wrong slope, and against a division by zero when only one size is measured.
test('the fit recovers a line and is flat for a single point', (t) => {
  const line = fitLine([1, 2, 5].map((x) => ({ x, y: 3 * x - 2 })))
  t.true(Math.abs(line.at(770) - 2308) < 1e-6)
  t.is(fitLine([{ x: 4, y: 7 }]).at(770), 7)
})
