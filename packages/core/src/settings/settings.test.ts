import test from 'ava'
import { parseToml } from './load.js'
import { settingsSchema } from './schema.js'

const nodeToml = (extra = '') => `
role = "node"
[vm]
id = "vm-1"
address = "127.0.0.1"
region = "r1"
failureDomain = "r1-a"
[node]
callerPort = 4000
peerPort = 4001
gossipPort = 4002
${extra}
[[controls]]
vmId = "c1"
address = "127.0.0.1"
apiPort = 5000
gossipPort = 5001
failureDomain = "r1-a"
[auth]
fleetKey = "0123456789abcdef"
`
const messageOf = (text: string) => parseToml('node.toml', text, settingsSchema).match(() => 'accepted', (problem) => problem.message)

// Guards against rejecting a settings file because an optional key is absent, and against changed defaults.
test('complete settings are accepted and defaults filled in', (t) => {
  const settings = parseToml('node.toml', nodeToml(), settingsSchema)._unsafeUnwrap()
  t.is(settings.node?.drainTimeoutS, 120)
  t.is(settings.log.level, 'info')
})

// Guards against a process that starts with unknown or contradictory settings: a misspelled key would silently leave its default in effect.
test('problems name the file, the key and the remedy', (t) => {
  t.regex(messageOf(nodeToml('callerport = 1')), /node\.toml: node: unknown key "callerport"; remove it or correct its name/)
  t.regex(messageOf(nodeToml('drainTimeoutS = "long"')), /node\.toml: node\.drainTimeoutS: .*expected number/)
  t.regex(messageOf(nodeToml().replace('peerPort = 4001', 'peerPort = 4000')), /node\.peerPort: equals callerPort; choose another port/)
  t.regex(messageOf(nodeToml().replace('role = "node"', 'role = "control"')), /role is "control"; add a \[control\] table/)
  t.regex(messageOf('role = '), /node\.toml:1:\d+: not valid TOML/)
})
