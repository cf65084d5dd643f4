import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { stringify } from 'smol-toml'
import type { ControlPeer, NodeSettings, Settings } from '@orioleslip/core'

/** A control VM of an experiment. */
export type ControlVm = ControlPeer & { region: string }
/** A VM with a node and the ports that the node and a stand-in target use. */
export type TargetVm = {
  vmId: string
  region: string
  failureDomain: string
  callerPort: number
  peerPort: number
  gossipPort: number
  targetPort: number
}

/** Fixed keys of an experiment's fleet; they need not be secret, since the fleet listens on loopback only. */
export const FLEET_KEY = 'lab-fleet-key-0123456789'
export const OPERATOR = { name: 'lab', key: 'lab-operator-key-0123456789' }

/** Address on which all processes of a fleet listen. */
export const HOST = '127.0.0.1'

type CommonSettings = Pick<Settings, 'controls' | 'auth' | 'log'>

function commonSettings (controls: ControlVm[], operators: Settings['auth']['operators']): CommonSettings {
  const peers = controls.map(({ region: _region, ...peer }) => peer)
  return { controls: peers, auth: { fleetKey: FLEET_KEY, operators }, log: { level: 'info' } }
}

function writeSettings (folder: string, vmId: string, settings: object): string {
  mkdirSync(folder, { recursive: true })
  const file = join(folder, `${vmId}.toml`)
  writeFileSync(file, stringify(settings))
  return file
}

/** Writes the settings file of a control VM and returns its path. */
export function writeControlSettings (folder: string, controls: ControlVm[], vm: ControlVm): string {
  return writeSettings(folder, vm.vmId, {
    role: 'control',
    vm: { id: vm.vmId, address: vm.address, region: vm.region, failureDomain: vm.failureDomain },
    control: { apiPort: vm.apiPort, gossipPort: vm.gossipPort, dataDir: join(folder, `${vm.vmId}-data`) },
    ...commonSettings(controls, [OPERATOR])
  })
}

/** Writes the settings file of a node and returns its path. */
export function writeNodeSettings (folder: string, controls: ControlVm[], vm: TargetVm, overrides: Partial<NodeSettings> = {}): string {
  return writeSettings(folder, vm.vmId, {
    role: 'node',
    vm: { id: vm.vmId, address: HOST, region: vm.region, failureDomain: vm.failureDomain },
    node: { callerPort: vm.callerPort, peerPort: vm.peerPort, gossipPort: vm.gossipPort, ...overrides },
    ...commonSettings(controls, [OPERATOR])
  })
}
