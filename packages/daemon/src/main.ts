#!/usr/bin/env -S node --max-semi-space-size=2
import { runDaemon } from './run.js'

const code = await runDaemon(process.argv.slice(2))
if (code !== undefined) process.exit(code)
