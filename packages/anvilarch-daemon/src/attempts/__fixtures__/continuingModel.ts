/** Model endpoints that answer the same words, and go on with them where they are asked to. */
import type { StartAttemptRequest } from 'anvilarch-protocol'
import { chatEvents, type FakeAgentOptions } from './fakeAgent'

/** The words of each whole answer. */
export const WORDS = ['one ', 'two ', 'three ', 'four ', 'five']

/** @returns the events of an answer, from where the request asks to go on */
export function continuedChat (request: StartAttemptRequest): string[] {
  const body = JSON.parse(Buffer.from(request.call?.body ?? []).toString()) as { continuation?: { tokens: number } }
  return chatEvents(WORDS.slice(body.continuation?.tokens ?? 0))
}

/**
 * @param name - of the agent
 * @param more - what differs
 * @returns an agent beside such an endpoint
 */
export function continuingModel (name: string, more: Partial<FakeAgentOptions> = {}): FakeAgentOptions {
  return { name, kind: 'model', answer: continuedChat, ...more }
}
