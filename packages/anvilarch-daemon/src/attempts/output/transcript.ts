/** What a caller has received of a completion, read from its streamed events. */
import type { Continuation } from './types'

/** One choice of an event. */
interface ChunkChoice {
  index?: number
  delta?: Record<string, unknown>
  text?: string
  finish_reason?: string | null
}

/** One parsed event of a completion stream. */
export interface CompletionChunk {
  id?: string
  created?: number
  choices?: ChunkChoice[]
  usage?: unknown
  error?: unknown
}

/** Accumulates the text of a stream. */
export interface Transcript {
  add: (chunk: CompletionChunk) => void
  /** False once the stream carried something that text alone can't continue. */
  continuable: () => boolean
  continuation: () => Continuation
  /** Whether something was chosen to say, and all of it told why it ended. */
  finished: () => boolean
  /** Whether an event only ends or counts again what had been ended or counted, as that of a further run may. */
  repeatsEnd: (chunk: CompletionChunk) => boolean
  /** Identity of the stream, which its events keep when another endpoint goes on with it. */
  identity: () => Pick<CompletionChunk, 'id' | 'created'>
}

/** Fields of a delta that text alone continues. */
const TEXT_FIELDS = new Set(['role', 'content', 'refusal'])

/** @returns an empty transcript */
export function createTranscript (): Transcript {
  let tokens = 0
  let text = ''
  let plain = true
  let counted = false
  const finished = new Map<number, boolean>()
  let first: CompletionChunk | undefined

  const isFinished = (choice: ChunkChoice): boolean => finished.get(choice.index ?? 0) === true

  const addChoice = (choice: ChunkChoice): void => {
    const index = choice.index ?? 0
    if (index !== 0) plain = false
    finished.set(index, isFinished(choice) || typeof choice.finish_reason === 'string')
    const delta = choice.delta ?? {}
    if (Object.keys(delta).some(field => !TEXT_FIELDS.has(field) && delta[field] != null)) plain = false
    const piece = choice.text ?? delta['content']
    if (typeof piece !== 'string' || piece === '') return
    tokens++
    text += piece
  }

  return {
    add: chunk => {
      first ??= chunk
      counted ||= chunk.usage != null && chunk.choices?.[0] === undefined
      if (chunk.error !== undefined) plain = false
      chunk.choices?.forEach(addChoice)
    },
    continuable: () => plain,
    continuation: () => ({ tokens, text }),
    finished: () => finished.size > 0 && [...finished.values()].every(Boolean),
    repeatsEnd: ({ choices, usage }) => choices?.[0] === undefined ? counted && usage != null : choices.every(isFinished),
    identity: () => ({ id: first?.id, created: first?.created })
  }
}
