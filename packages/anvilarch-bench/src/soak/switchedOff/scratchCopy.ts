/** Makes a scratch copy of the repository, with the packages of the copy linked to each other, and builds it. */
import { execFileSync } from 'node:child_process'
import { cpSync, existsSync, mkdirSync, readdirSync, readFileSync, readlinkSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { basename, join } from 'node:path'
import type { Replacement } from './switches'

/** Not copied: build output, linked modules, and data that belongs only to the original. */
const EXCLUDED_NAMES: ReadonlySet<string> = new Set(['node_modules', 'lib', '.git', '.fleet'])
const EXCLUDED_SUFFIX = '.tsbuildinfo'
const OWN_PACKAGE = /^anvilarch/

/**
 * @param root - of the repository
 * @param directory - of the copy; existing content is removed
 * @param replacements - applied to the copy before the build
 */
export function makeScratchCopy (root: string, directory: string, replacements: readonly Replacement[]): void {
  rmSync(directory, { recursive: true, force: true })
  cpSync(root, directory, { recursive: true, filter: source => !EXCLUDED_NAMES.has(basename(source)) && !source.endsWith(EXCLUDED_SUFFIX) })
  linkModules(root, directory)
  for (const replacement of replacements) applyReplacement(directory, replacement)
  execFileSync('npm', ['run', 'build'], { cwd: directory, stdio: 'inherit' })
}

/**
 * Links libraries to those of the original, and the packages of the repository to those of the copy.
 *
 * @param root - of the repository
 * @param directory - of the copy
 */
export function linkModules (root: string, directory: string): void {
  mkdirSync(join(directory, 'node_modules'))
  for (const name of readdirSync(join(root, 'node_modules'))) {
    const module = join(root, 'node_modules', name)
    symlinkSync(OWN_PACKAGE.test(name) ? readlinkSync(module) : module, join(directory, 'node_modules', name))
  }
  for (const name of readdirSync(join(root, 'packages'))) {
    const own = join(root, 'packages', name, 'node_modules')
    if (existsSync(own)) symlinkSync(own, join(directory, 'packages', name, 'node_modules'))
  }
}

/**
 * @param directory - of the copy
 * @param replacement - to apply
 * @throws Error if the file does not contain the text exactly once: the source has changed, and `SWITCHES` must be updated
 */
export function applyReplacement (directory: string, { file, text, by }: Replacement): void {
  const path = join(directory, file)
  const parts = readFileSync(path, 'utf8').split(text)
  if (parts.length !== 2) throw new Error(`${file} contains ${parts.length - 1} times instead of once: ${text}`)
  writeFileSync(path, parts.join(by))
}
