import { LEVEL_INTERVAL_MS, type TargetGate } from '@orioleslip/core'

/** Ticks a gate while it is under pressure; without pressure no timer wakes the process. Returns a function that stops the ticks. */
export function startGateTicks (gate: Pick<TargetGate, 'tick' | 'underPressure' | 'onPressure'>): () => void {
  let timer: NodeJS.Timeout | undefined
  const stop = () => {
    clearInterval(timer)
    timer = undefined
  }
  const run = () => {
    gate.tick()
    if (!gate.underPressure()) stop()
  }
  gate.onPressure(() => { timer ??= setInterval(run, LEVEL_INTERVAL_MS) })
  return () => {
    gate.onPressure(() => {})
    stop()
  }
}
