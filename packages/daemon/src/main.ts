#!/usr/bin/env node
import { runDaemon } from './run.js'

const code = await runDaemon(process.argv.slice(2))
if (code !== undefined) process.exit(code)
