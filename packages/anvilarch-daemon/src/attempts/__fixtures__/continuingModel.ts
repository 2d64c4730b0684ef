/** Model endpoints that produce the same words and can continue them from a given token. */
import type { StartAttemptRequest } from 'anvilarch-protocol'
import { chatEvents, type FakeAgentOptions } from './fakeAgent'

/** Words of a complete response. */
export const WORDS = ['one ', 'two ', 'three ', 'four ', 'five']

/** @returns the events of a response, starting after the continuation of the request */
export function continuedChat (request: StartAttemptRequest): string[] {
  const body = JSON.parse(Buffer.from(request.call?.body ?? []).toString()) as { continuation?: { tokens: number } }
  return chatEvents(WORDS.slice(body.continuation?.tokens ?? 0))
}

/**
 * @param name - name of the agent
 * @param more - options that override the defaults
 * @returns options of an agent with such an endpoint
 */
export function continuingModel (name: string, more: Partial<FakeAgentOptions> = {}): FakeAgentOptions {
  return { name, kind: 'model', answer: continuedChat, ...more }
}
