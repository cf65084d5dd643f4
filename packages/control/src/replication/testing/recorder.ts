import type { StateMachine } from '@orioleslip/core'

/** A state machine that records the commands in the order in which they are applied. */
export type Recorder = StateMachine<string, number, string[]> & { applied: string[] }

/** Creates a recorder; the reply to a command is its position. */
export function createRecorder (): Recorder {
  const recorder: Recorder = {
    applied: [],
    apply: (_index, cmd) => recorder.applied.push(cmd),
    snapshot: () => [...recorder.applied],
    restore: (state) => { recorder.applied = [...state] }
  }
  return recorder
}
