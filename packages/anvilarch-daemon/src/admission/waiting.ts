/** Gives up attempts that wait: their deadline passed, or this agent will not run them. */
import type { AdmissionCommand, AdmissionState, GiveUpReason, WaitingAttempt } from './types'

/**
 * @param state - state of the endpoint; changed in place
 * @param nowMs - the time
 * @param commands - takes what is given up
 */
export function expireWaiting (state: AdmissionState, nowMs: number, commands: AdmissionCommand[]): void {
  state.online = keepInTime(state.online, nowMs, commands)
  state.batch = keepInTime(state.batch, nowMs, commands)
  state.solo = keepInTime(state.solo, nowMs, commands)
  state.isolated = state.isolated.filter(({ attempt, untilMs }) => {
    if (untilMs > nowMs) return true
    commands.push(giveUp(attempt, 'isolated_busy', state.options.minRetryAfterMs))
    return false
  })
}

/**
 * @param state - state of the endpoint; changed in place
 * @param reason - why nothing that waits will run
 * @param commands - takes what is given up
 */
export function giveUpAll (state: AdmissionState, reason: GiveUpReason, commands: AdmissionCommand[]): void {
  const waiting = [...state.online, ...state.batch, ...state.solo, ...state.isolated.map(({ attempt }) => attempt)]
  state.online = []
  state.batch = []
  state.solo = []
  state.isolated = []
  for (const attempt of waiting) commands.push(giveUp(attempt, reason, 0))
}

function keepInTime (waiting: WaitingAttempt[], nowMs: number, commands: AdmissionCommand[]): WaitingAttempt[] {
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
