/** Accumulates the part of a completion that a caller has received, from its streamed events. */
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

/** Transcript of a completion stream. */
export interface Transcript {
  add: (chunk: CompletionChunk) => void
  /** False once the stream contained anything that can't be continued from its text alone. */
  continuable: () => boolean
  continuation: () => Continuation
  /** Whether the stream has at least one choice and all of its choices have a finish reason. */
  finished: () => boolean
  /** Whether an event only repeats a finish reason or usage, as a continuing endpoint may send it. */
  repeatsEnd: (chunk: CompletionChunk) => boolean
  /** Identity of the stream, which all of its events carry when another endpoint continues it. */
  identity: () => Pick<CompletionChunk, 'id' | 'created'>
}

/** Fields of a delta that can be continued from text alone. */
const TEXT_FIELDS = new Set(['role', 'content', 'refusal'])

/** @returns an empty transcript */
export function createTranscript (): Transcript {
  let tokens = 0
  let text = ''
  let textOnly = true
  let usageSeen = false
  const finishedChoices = new Map<number, boolean>()
  let firstChunk: CompletionChunk | undefined

  const isFinished = (choice: ChunkChoice): boolean => finishedChoices.get(choice.index ?? 0) === true

  const addChoice = (choice: ChunkChoice): void => {
    const index = choice.index ?? 0
    if (index !== 0) textOnly = false
    finishedChoices.set(index, isFinished(choice) || typeof choice.finish_reason === 'string')
    const delta = choice.delta ?? {}
    if (Object.keys(delta).some(field => !TEXT_FIELDS.has(field) && delta[field] != null)) textOnly = false
    const piece = choice.text ?? delta['content']
    if (typeof piece !== 'string' || piece === '') return
    tokens++
    text += piece
  }

  return {
    add: chunk => {
      firstChunk ??= chunk
      usageSeen ||= chunk.usage != null && chunk.choices?.[0] === undefined
      if (chunk.error !== undefined) textOnly = false
      chunk.choices?.forEach(addChoice)
    },
    continuable: () => textOnly,
    continuation: () => ({ tokens, text }),
    finished: () => finishedChoices.size > 0 && [...finishedChoices.values()].every(Boolean),
    repeatsEnd: ({ choices, usage }) => choices?.[0] === undefined ? usageSeen && usage != null : choices.every(isFinished),
    identity: () => ({ id: firstChunk?.id, created: firstChunk?.created })
  }
}
