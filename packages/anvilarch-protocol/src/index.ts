/** Messages, rows and interfaces that the daemons use between each other and with the platform. */
export * from './gen/anvilarch/v1/agent_pb'
export * from './workClass'
export * from './refusals'
export * from './outcomes'
export * from './sessions'
export * from './platform'
export * from './rows'
export * from './timelineEvent'
