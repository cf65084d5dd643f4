import { systemClock, type Clock } from '@orioleslip/core'
import { Command, CommanderError, InvalidArgumentError } from 'commander'
import type { Result } from 'neverthrow'
import { loadClientSettings, type ClientSettings, type ConnectionOptions } from './client-settings.js'
import { showAudit, verifyAudit } from './commands/audit.js'
import { clusterInit, showFleet, showStatus } from './commands/cluster.js'
import { explainFromLogs, explainRevision } from './commands/explain-logs.js'
import { explainRequest } from './commands/explain.js'
import { editLists, type EditOptions } from './commands/lists-edit.js'
import { diffListFiles, getLists, listsHistory, validateLists } from './commands/lists-read.js'
import { createControlCalls, type ControlCalls } from './control-calls.js'
import { EXIT, type CliError, type Output } from './exit-codes.js'
import type { ListFileOptions } from './list-files.js'

const HELP = `
The control VMs, the operator and its key come from flags, from ORIOLESLIP_CONTROLS, ORIOLESLIP_OPERATOR and ORIOLESLIP_KEY,
or from a file (--config, ORIOLESLIP_CONFIG or ./orioleslip.toml):

  operator = "ana"
  key = "..."
  controls = ["10.0.0.1:7000", "10.0.1.1:7000", "10.0.2.1:7000"]

Examples:
  orioleslip cluster init
  orioleslip lists get --out lists
  orioleslip lists edit --customers lists/customers.toml --plans lists/plans.toml --wait
  orioleslip status --json

Exit codes:
  0 done                 1 unexpected failure     2 wrong command line, settings or lists
  3 conflict             4 not done, no control VM could execute it
  5 outcome unknown, repeat with the same --edit-id
  6 operator refused     7 audit trail broken     8 nodes still lag after --wait`

/** Output, environment and clock of a command; `note` writes lines to standard error. */
export type Io = { out: (text: string) => void, note: (line: string) => void, env: NodeJS.ProcessEnv, clock: Clock }

const systemIo: Io = {
  out: (text) => process.stdout.write(text + '\n'),
  note: (line) => process.stderr.write(line + '\n'),
  env: process.env,
  clock: systemClock
}

type GlobalOptions = ConnectionOptions & { json?: boolean }
type Action = (calls: ControlCalls, settings: ClientSettings) => Promise<Result<Output, CliError>>

function parseWholeNumber (text: string): number {
  if (!/^\d{1,15}$/.test(text)) throw new InvalidArgumentError('use a whole number')
  return Number(text)
}

const collect = (value: string, previous: string[] = []) => [...previous, value]

/** Runs the command line and returns the exit code. */
export async function runCli (argv: readonly string[], io: Io = systemIo): Promise<number> {
  let exitCode: number = EXIT.ok
  const program = new Command('orioleslip')
  const globals = () => program.opts<GlobalOptions>()

  function show (res: Result<Output, CliError>): void {
    const { json = false } = globals()
    res.match(
      (output) => {
        io.out(json ? JSON.stringify(output.json) : output.text)
        exitCode = output.exitCode ?? EXIT.ok
      },
      (problem) => {
        if (json) io.out(JSON.stringify({ error: problem.message, exitCode: problem.exitCode, ...problem.json }))
        else io.note(problem.message)
        exitCode = problem.exitCode
      })
  }

  async function withControls (action: Action): Promise<void> {
    const settings = loadClientSettings(globals(), io.env)
    if (settings.isErr()) return show(settings.map(() => ({ text: '', json: null })))
    const calls = createControlCalls(settings.value, io.clock)
    try {
      show(await action(calls, settings.value))
    } finally {
      await calls.close()
    }
  }

  // Inherited by the subcommands, so it is set before they are added.
  program.exitOverride().configureOutput({ writeOut: (text) => io.out(text.trimEnd()), writeErr: (text) => io.note(text.trimEnd()) })
  program
    .description('Edits the two lists of an orioleslip fleet and shows the state of the fleet.')
    .option('--config <file>', 'settings of this command (TOML)')
    .option('--control <address:port>', 'control VM; may be repeated', collect)
    .option('--operator <name>', 'operator name')
    .option('--json', 'print one JSON document')
    .addHelpText('after', HELP)

  const cluster = program.command('cluster').description('Sets up the control VMs.')
  cluster.command('init').description('Creates the log groups on all control VMs, once.')
    .addHelpText('after', '\nAll control VMs must be running. Repeating the command is harmless.\n\nExample:\n  orioleslip cluster init')
    .action(() => withControls((calls) => clusterInit(calls)))

  const lists = program.command('lists').description('Reads and edits the customers and plans lists.')
  const listFiles = (cmd: Command) => cmd.option('--customers <file>', 'customers.toml').option('--plans <file>', 'plans.toml')
  listFiles(lists.command('validate')).description('Validates list files without a control VM.')
    .addHelpText('after', '\nExample:\n  orioleslip lists validate --customers customers.toml --plans plans.toml')
    .action((options: ListFileOptions) => show(validateLists(options)))
  listFiles(lists.command('diff')).description('Shows what an edit with these files would change.')
    .action((options: ListFileOptions) => withControls((calls) => diffListFiles(calls, options)))
  listFiles(lists.command('edit')).description('Replaces the lists, or the one for which a file is given.')
    .option('--base <revision>', 'revision the files were made from; by default the one in the files', parseWholeNumber)
    .option('--edit-id <id>', 'id of the edit; give that of an earlier attempt to repeat it safely')
    .option('--wait', 'wait until all nodes have the revision')
    .addHelpText('after', `
An edit made from an older revision than the one in effect is a conflict and changes nothing. When a reply is lost, the
command retries on the other control VMs with the same edit id; an edit id is applied at most once.

Examples:
  orioleslip lists get --out lists && $EDITOR lists/plans.toml
  orioleslip lists edit --plans lists/plans.toml --wait
  orioleslip lists edit --plans lists/plans.toml --edit-id 6b1f6c0e-3a52-4c43-9d7e-0f6b3b7c2a11`)
    .action((options: EditOptions) => withControls((calls) => editLists(calls, options, io.clock, io.note)))
  lists.command('get').description('Prints the lists in effect, or writes them into files.')
    .option('--out <folder>', 'writes customers.toml and plans.toml into this folder')
    .option('--force', 'replaces existing files')
    .action((options: { out?: string, force?: boolean }) => withControls((calls) => getLists(calls, options)))
  lists.command('history').description('Shows the latest accepted edits.')
    .option('--limit <count>', 'maximum number of entries shown', parseWholeNumber, 20)
    .action((options: { limit: number }) => withControls((calls) => listsHistory(calls, options)))

  program.command('status').description('Shows the revision in effect, the control VMs and the nodes that lag.')
    .action(() => withControls((calls) => showStatus(calls)))
  program.command('fleet').description('Shows every node that polls a control VM.')
    .action(() => withControls((calls) => showFleet(calls)))

  const audit = program.command('audit').description('Reads the audit trail.')
  audit.command('show').description('Shows entries of the trail.')
    .option('--after <seq>', 'starts after this entry; by default the latest entries are shown', parseWholeNumber)
    .option('--limit <count>', 'maximum number of entries shown', parseWholeNumber, 20)
    .action((options: { after?: number, limit: number }) => withControls((calls) => showAudit(calls, options)))
  audit.command('verify').description('Checks the hash chain from its first entry, on every control VM.')
    .action(() => withControls((calls) => verifyAudit(calls)))

  program.command('explain').description('Shows the decisions on a request and their reasons.').argument('<requestId>', 'Orioleslip-Request-Id of the response')
    .option('--node <address:port>', 'caller listener of a node; by default all nodes known to the control VMs', collect)
    .option('--logs <file...>', 'log files of processes, read instead of contacting nodes')
    .action((requestId: string, options: { node?: string[], logs?: string[] }) => options.logs === undefined
      ? withControls((calls, settings) =>
        explainRequest(calls, requestId, options.node ?? (settings.nodes.length > 0 ? settings.nodes : undefined), settings))
      : show(explainFromLogs(options.logs, requestId)))

  program.command('explain-revision').description('Shows from log files where and when a revision took effect.')
    .argument('<revision>', 'revision of the lists or of the routes', parseWholeNumber)
    .requiredOption('--logs <file...>', 'log files of processes')
    .action((revision: number, options: { logs: string[] }) => show(explainRevision(options.logs, revision)))

  try {
    await program.parseAsync([...argv], { from: 'user' })
  } catch (err) {
    if (!(err instanceof CommanderError)) throw err
    return err.exitCode === 0 ? EXIT.ok : EXIT.usage
  }
  return exitCode
}
