import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { validateDocument } from 'anvilarch-configuration'
import { type FakeGateway, startFakeGateway, unusedUrl } from '../__fixtures__/fakeGateway'
import { type CommandOutcome, runCommand } from '../__fixtures__/runCommand'

const DEMO = join(__dirname, '../../../../examples/demo.jsonc')
const DEMO_TEXT = readFileSync(DEMO, 'utf8')
const OTHER_TEXT = DEMO_TEXT.replace('"replicas": 3', '"replicas": 4')

let gateway: FakeGateway
let folder: string
let otherFile: string
let brokenFile: string

beforeEach(async () => {
  gateway = await startFakeGateway(DEMO_TEXT)
  folder = mkdtempSync(join(tmpdir(), 'anvilarch-cli-'))
  otherFile = join(folder, 'other.jsonc')
  brokenFile = join(folder, 'broken.jsonc')
  writeFileSync(otherFile, OTHER_TEXT)
  writeFileSync(brokenFile, DEMO_TEXT.replace('"replicas": 3', '"replica": 3'))
})

afterEach(async () => {
  await gateway.close()
  rmSync(folder, { recursive: true })
})

const run = (...words: string[]): Promise<CommandOutcome> => runCommand([...words, '--gateway', gateway.url])

describe('config validate', () => {
  it('accepts a valid document without a gateway', async () => {
    const outcome = await runCommand(['config', 'validate', DEMO, '--json'])
    expect(outcome.exitCode).toBe(0)
    expect(outcome.json()).toMatchObject({ valid: true, services: 2 })
  })

  it('prints every error with its position and exits with 3', async () => {
    const outcome = await runCommand(['config', 'validate', brokenFile])
    expect(outcome.exitCode).toBe(3)
    expect(outcome.stderr).toContain(`${brokenFile}:23:7: services.assistant.replica: found the unknown key "replica"`)
    expect(outcome.stderr).toContain('did you mean "replicas"?')
  })

  it('prints the issues as JSON', async () => {
    const outcome = await runCommand(['--json', 'config', 'validate', brokenFile])
    expect(outcome.json().error).toMatchObject({ exitCode: 3, issues: expect.arrayContaining([expect.objectContaining({ didYouMean: ['replicas'] })]) })
  })

  it('exits with 2 if the file does not exist', async () => {
    const outcome = await runCommand(['config', 'validate', join(folder, 'absent.jsonc')])
    expect(outcome.exitCode).toBe(2)
    expect(outcome.stderr).toContain('there is no such file')
  })
})

describe('config apply', () => {
  it('applies a document', async () => {
    const outcome = await run('config', 'apply', otherFile, '--json')
    expect(outcome.exitCode).toBe(0)
    expect(outcome.json()).toMatchObject({ version: 2, changed: true })
  })

  it('reports that the document is already in force', async () => {
    const outcome = await run('config', 'apply', DEMO)
    expect(outcome.stdout).toContain('nothing to change: version 1')
  })

  it('sends nothing if the document is invalid', async () => {
    const outcome = await run('config', 'apply', brokenFile)
    expect(outcome.exitCode).toBe(3)
    expect(gateway.state.requests).toEqual([])
  })

  it('exits with 4 and prints the version in force if it is not the expected one', async () => {
    const outcome = await run('config', 'apply', otherFile, '--if-version', '7', '--json')
    expect(outcome.exitCode).toBe(4)
    expect(outcome.json().error).toMatchObject({ code: 'conflict', version: 1, ran: 'not_run' })
  })

  it('waits until the version is in force in every live daemon', async () => {
    gateway.state.agentVersions = [1, 1, 2]
    const outcome = await run('config', 'apply', otherFile, '--wait', '--json')
    expect(outcome.exitCode).toBe(0)
    expect(outcome.json()).toMatchObject({ inForce: true, waitedMs: 1000 })
  })

  it('exits with 6 and lists the daemons without the version when the time limit is reached', async () => {
    const outcome = await run('config', 'apply', otherFile, '--wait', '2')
    expect(outcome.exitCode).toBe(6)
    expect(outcome.stdout).toMatch(/not yet in force everywhere:\n.*\nagent-1 +agent +serving +1 +no/)
  })

  // Guards against an apply that is reported as failed although it is in force: the operator would repeat it and undo a colleague's change.
  it('determines the outcome from the version in force if the response is lost', async () => {
    gateway.state.responsesToLose['/admin/v1/configuration'] = 1
    const outcome = await run('config', 'apply', otherFile, '--json')
    expect(outcome.exitCode).toBe(0)
    expect(outcome.json()).toMatchObject({ version: 2, changed: true })
    expect(gateway.state.requests.filter(({ method }) => method === 'POST')).toHaveLength(1)
  })
})

describe('config show', () => {
  it('prints a document that can be applied again', async () => {
    const outcome = await run('config', 'show')
    expect(outcome.stdout).toMatch(/^\/\/ version 1, hash [0-9a-f]{64}\n\/\/ applied by: ana at/)
    expect(validateDocument(outcome.stdout, 'shown').ok).toBe(true)
  })
})

describe('config diff', () => {
  it('lists the fields that would change', async () => {
    const outcome = await run('config', 'diff', otherFile)
    expect(outcome.exitCode).toBe(0)
    expect(outcome.stdout).toContain('1 field would change\n~ services.assistant.replicas: 3 -> 4')
  })

  it('finds no difference between the document in force and itself', async () => {
    const outcome = await run('config', 'diff', DEMO, '--json')
    expect(outcome.json()).toMatchObject({ differs: false, changes: [] })
  })
})

describe('config status', () => {
  it('shows the version of each daemon', async () => {
    const outcome = await run('config', 'status')
    expect(outcome.exitCode).toBe(0)
    expect(outcome.stdout).toContain('version 1 is in force in every live daemon')
  })

  it('exits with 6 when the time limit is reached', async () => {
    gateway.state.agentVersions = [0]
    const outcome = await run('config', 'status', '--wait', '3')
    expect(outcome.exitCode).toBe(6)
  })
})

describe('--gateway', () => {
  it('tries the next gateway if one is unreachable', async () => {
    const outcome = await runCommand(['config', 'show', '--json'], { ANVILARCH_GATEWAY: `${await unusedUrl()},${gateway.url}` })
    expect(outcome.exitCode).toBe(0)
  })

  it('exits with 5 if no gateway is reachable', async () => {
    const outcome = await runCommand(['status', '--gateway', await unusedUrl()])
    expect(outcome.exitCode).toBe(5)
    expect(outcome.stderr).toMatch(/error: No connection to gateway "http:\/\/127\.0\.0\.1:\d+".*\n {2}where: status\.show at .*\n {2}what to do: Check --gateway/)
  })

  it('exits with 2 for a value that is not a URL', async () => {
    expect((await runCommand(['status', '--gateway', 'localhost:8080'])).exitCode).toBe(2)
  })

  it('sends the key of the caller account', async () => {
    await runCommand(['status', '--gateway', gateway.url], { ANVILARCH_API_KEY: 'secret' })
    expect(gateway.state.requests[0].headers.authorization).toBe('Bearer secret')
  })
})
