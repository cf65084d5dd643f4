import test from 'ava'
import { fitLine } from './linear-fit.js'

// Guards against predictions for the design size from a wrong slope, and against NaN from a division by zero: with a single measured
// size, all squared deviations are 0.
test('the fit recovers a line and is flat for a single point', (t) => {
  const line = fitLine([1, 2, 5].map((x) => ({ x, y: 3 * x - 2 })))
  t.true(Math.abs(line.at(770) - 2308) < 1e-6)
  t.is(fitLine([{ x: 4, y: 7 }]).at(770), 7)
})
