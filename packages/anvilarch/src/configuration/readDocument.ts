/** Reads a configuration document from disk and validates it. */
import { type ConfigurationDocument, formatIssues, validateDocument } from 'anvilarch-configuration'
import { CliError } from '../cliError'
import { readTextFile } from '../files'

/**
 * @param path - of the document file
 * @returns its text and the document with all defaults filled in
 * @throws CliError that lists every issue of the document
 */
export async function readDocument (path: string): Promise<{ text: string, document: ConfigurationDocument }> {
  const text = await readTextFile(path)
  const result = validateDocument(text, path)
  if (result.ok) return { text, document: result.val }
  const count = result.val.length
  throw new CliError(`"${path}" has ${count} ${count === 1 ? 'error' : 'errors'}.`, {
    code: 'bad_request',
    step: 'configuration.validate',
    ran: 'not_run',
    exit: 'invalid_document',
    hint: 'Correct the document and run the command again. Nothing was sent to a gateway.',
    data: { issues: result.val },
    text: formatIssues(result.val)
  })
}
