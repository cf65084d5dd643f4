import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { OPERATOR, type ControlVm } from './settings-files.js'

const CLI_SCRIPT = fileURLToPath(import.meta.resolve('@orioleslip/cli/main'))

/** Runs the operator's command line tool against the control VMs of a fleet. */
export function runOperatorCommand (controls: ControlVm[], args: string[]): Promise<{ code: number, stdout: string, stderr: string }> {
  const env = {
    ...process.env,
    ORIOLESLIP_CONTROLS: controls.map((vm) => `${vm.address}:${vm.apiPort}`).join(','),
    ORIOLESLIP_OPERATOR: OPERATOR.name,
    ORIOLESLIP_KEY: OPERATOR.key
  }
  return new Promise((resolve) => {
    execFile(process.execPath, [CLI_SCRIPT, ...args], { env }, (err, stdout, stderr) => {
      const code = err === null ? 0 : typeof err.code === 'number' ? err.code : 1
      resolve({ code, stdout, stderr })
    })
  })
}
