/** The local fleet that experiments run on. */
import type { AgentSettings, ConfigurationDocument, GatewaySettings } from 'anvilarch-configuration'
import type { EngineOptions, Fleet, FleetOptions } from 'anvilarch-standins'

/** Size and settings of a fleet. */
export interface BenchFleetOptions {
  gateways: number
  /** Model endpoints, each with its own agent. */
  models: number
  /** Plain endpoints, each with its own agent. */
  plains: number
  engine?: Partial<EngineOptions>
  /** Time that a plain endpoint takes for one request. */
  plainServiceMs?: number
  failureDomains?: string[]
  gateway?: Partial<GatewaySettings>
  agent?: Partial<Omit<AgentSettings, 'endpoints'>>
  /** Changes the document before it is applied. */
  document?: (document: BenchDocument) => void
  /** Changes the settings of a daemon, for example to connect it to the platform through a relay. */
  adjustSettings?: FleetOptions['adjustSettings']
}

/** Configuration document of the fleets; omitted fields get the defaults of the system. */
export interface BenchDocument {
  formatVersion: 1
  regions: ConfigurationDocument['regions']
  models: ConfigurationDocument['models']
  services: Record<string, Record<string, unknown>>
  defaultCaller: ConfigurationDocument['defaultCaller']
  limits?: Partial<ConfigurationDocument['limits']>
}

/** A daemon of the fleet. */
export interface BenchDaemon {
  name: string
  pid: number
  /** IP number and port of the HTTP/2 listener. */
  peerAddress: string
  operationsUrl: string
}

/** A gateway. */
export interface BenchGateway extends BenchDaemon {
  /** Callers' address. */
  origin: string
}

/** An agent with its endpoint. */
export interface BenchAgent extends BenchDaemon {
  kind: 'model' | 'plain'
  failureDomain: string
  endpoint: { name: string, url: string, pid: number }
}

/** A stand-in of the platform. */
export interface BenchPlatform {
  url: string
  pid: number
}

/** A running fleet with its document in force. */
export interface BenchFleet {
  gateways: BenchGateway[]
  agents: BenchAgent[]
  table: BenchPlatform
  objects: BenchPlatform
  hosts: BenchPlatform
  /** Service names of the document. */
  services: { model: string, plain: string }
  /** Value of the field `model` of requests. */
  model: string
  document: BenchDocument
  /** The underlying fleet, for kills, faults and the host list. */
  local: Fleet
  stop: () => Promise<void>
}
