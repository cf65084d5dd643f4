import { Command, CommanderError } from 'commander'
import { EXIT } from './exit-codes.js'
import { loadSettings } from './load-settings.js'
import { startMetrics } from './metrics.js'
import { prepareProcess } from './prepare-process.js'
import { startRole } from './roles.js'

const HELP = `
Examples:
  orioleslipd --config /etc/orioleslip/node.toml
  orioleslipd --config control.toml --check

Exit codes: 0 planned stop or valid settings, 1 second signal or failure, 2 wrong settings or command line, 3 cannot start.`

function parseArguments (argv: readonly string[]): { config: string, check: boolean } | { exitCode: number } {
  const program = new Command('orioleslipd')
    .description('Runs one process of orioleslip: a node on the VM of a target, or a control process.')
    .requiredOption('--config <file>', 'settings file (TOML), see docs/settings.md')
    .option('--check', 'only check the settings', false)
    .addHelpText('after', HELP)
    .exitOverride()
  try {
    program.parse([...argv], { from: 'user' })
  } catch (err) {
    if (err instanceof CommanderError) return { exitCode: err.exitCode === 0 ? EXIT.ok : EXIT.usage }
    throw err
  }
  return program.opts()
}

/** Runs the daemon; resolves with an exit code when nothing was started, undefined when the process runs or exits on its own. */
export async function runDaemon (argv: readonly string[]): Promise<number | undefined> {
  const args = parseArguments(argv)
  if ('exitCode' in args) return args.exitCode
  const loaded = loadSettings(args.config)
  if (loaded.isErr()) {
    process.stderr.write(loaded.error.message + '\n')
    return EXIT.usage
  }
  const settings = loaded.value
  if (args.check) {
    process.stdout.write(`${args.config}: the settings are valid for role "${settings.role}"\n`)
    return EXIT.ok
  }
  const { log, exit, signals } = prepareProcess(settings)
  const metrics = await startMetrics(settings, log)
  if (metrics.isErr()) {
    log.fatal({ event: 'failure' }, metrics.error)
    exit(EXIT.startFailed)
    return undefined
  }
  const { value: sink } = metrics
  const role = await startRole(settings, { log, ...(sink === undefined ? {} : { metrics: sink }) })
  if (role.isErr()) {
    log.fatal(role.error.message)
    exit(EXIT.startFailed)
    return undefined
  }
  signals.started(role.value)
  return undefined
}
