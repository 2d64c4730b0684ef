import { mkdirSync, mkdtempSync, readlinkSync, rmSync, symlinkSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { linkModules } from '../scratchCopy'

describe('linkModules', () => {
  const directory = mkdtempSync(join(tmpdir(), 'anvilarch-scratch-copy-'))
  afterAll(() => { rmSync(directory, { recursive: true }) })

  // Guards against a failing build of the copy because a package outside "packages" is not found.
  test('links each package of the repository to that of the copy, whatever its folder, and libraries to the original', () => {
    const [root, copy] = [join(directory, 'root'), join(directory, 'copy')]
    for (const folder of ['root/node_modules/library', 'root/packages/anvilarch-a', 'root/platform', 'copy']) mkdirSync(join(directory, folder), { recursive: true })
    symlinkSync('../packages/anvilarch-a', join(root, 'node_modules/anvilarch-a'))
    symlinkSync('../platform', join(root, 'node_modules/anvilarch-platform'))
    linkModules(root, copy)
    const linked = (name: string): string => readlinkSync(join(copy, 'node_modules', name))
    expect(linked('library')).toBe(join(root, 'node_modules/library'))
    expect(linked('anvilarch-a')).toBe('../packages/anvilarch-a')
    expect(linked('anvilarch-platform')).toBe('../platform')
  })
})
