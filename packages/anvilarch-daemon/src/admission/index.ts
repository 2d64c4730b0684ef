/** Admission to one endpoint: decides, without side effects, which attempts start, wait, are preempted or are rejected. */
export * from './types'
export { admissionStep, createAdmissionState } from './admissionStep'
export { admissionLoad } from './counts'
