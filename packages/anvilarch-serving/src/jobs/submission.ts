/** Encoding of the object that holds the items of a job. */
import type { JobItem } from './types'

interface EncodedItem extends Omit<JobItem, 'body'> {
  body: string
}

/** @returns the bytes of the object */
export function encodeSubmission (items: readonly JobItem[]): Buffer {
  const encoded: EncodedItem[] = items.map(item => ({ ...item, body: item.body.toString('base64') }))
  return Buffer.from(JSON.stringify(encoded))
}

/** @returns the decoded items; undefined when the bytes cannot be decoded, so that they are read again later */
export function decodeSubmission (bytes: Buffer): JobItem[] | undefined {
  try {
    const encoded = JSON.parse(bytes.toString()) as EncodedItem[]
    return encoded.map(item => ({ ...item, body: Buffer.from(item.body, 'base64') }))
  } catch {
    // The caller reports which job is affected.
    return undefined
  }
}
