#!/usr/bin/env node
/** Entry point of the command-line tool. */
import { createProcessEnvironment } from '../environment'
import { runCli } from '../runCli'

// A reader such as `head` may close the pipe early, which would end the program with a stack trace. A closed standard output
// ends the command; a closed standard error does not.
process.stdout.on('error', (error: NodeJS.ErrnoException) => { if (error.code === 'EPIPE') process.exit(0) })
process.stderr.on('error', () => {})

runCli(process.argv.slice(2), createProcessEnvironment()).then(exitCode => { process.exitCode = exitCode })
