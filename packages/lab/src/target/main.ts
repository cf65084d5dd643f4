import { startStandInTarget, targetSpecSchema } from './stand-in-target.js'

// Takes one argument: a JSON array of target specifications; all of them run in this process.
const specs = targetSpecSchema.array().parse(JSON.parse(process.argv[2] ?? '[]'))
await Promise.all(specs.map((spec) => startStandInTarget(spec)))
process.stdout.write('ready\n')
