/** Gives up waiting attempts: their deadline has passed, or this agent will not run them. */
import type { AdmissionCommand, AdmissionState, GiveUpReason, WaitingAttempt } from './types'

/**
 * Gives up the waiting attempts whose deadline has passed.
 *
 * @param state - state of the endpoint; modified in place
 * @param nowMs - current time
 * @param commands - receives the giveUp commands
 */
export function expireWaiting (state: AdmissionState, nowMs: number, commands: AdmissionCommand[]): void {
  state.online = giveUpExpired(state.online, nowMs, commands)
  state.batch = giveUpExpired(state.batch, nowMs, commands)
  state.solo = giveUpExpired(state.solo, nowMs, commands)
  state.isolated = state.isolated.filter(({ attempt, untilMs }) => {
    if (untilMs > nowMs) return true
    commands.push(giveUp(attempt, 'isolated_busy', state.options.minRetryAfterMs))
    return false
  })
}

/**
 * Gives up all waiting attempts.
 *
 * @param state - state of the endpoint; modified in place
 * @param reason - why no waiting attempt will run
 * @param commands - receives the giveUp commands
 */
export function giveUpAll (state: AdmissionState, reason: GiveUpReason, commands: AdmissionCommand[]): void {
  const waiting = [...state.online, ...state.batch, ...state.solo, ...state.isolated.map(({ attempt }) => attempt)]
  state.online = []
  state.batch = []
  state.solo = []
  state.isolated = []
  for (const attempt of waiting) commands.push(giveUp(attempt, reason, 0))
}

function giveUpExpired (waiting: WaitingAttempt[], nowMs: number, commands: AdmissionCommand[]): WaitingAttempt[] {
  if (waiting.every(attempt => attempt.deadlineMs > nowMs)) return waiting
  return waiting.filter(attempt => {
    if (attempt.deadlineMs > nowMs) return true
    commands.push(giveUp(attempt, 'deadline', 0))
    return false
  })
}

function giveUp (attempt: WaitingAttempt, reason: GiveUpReason, retryAfterMs: number): AdmissionCommand {
  return { kind: 'giveUp', id: attempt.id, reason, started: attempt.started, retryAfterMs }
}
