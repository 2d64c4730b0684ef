// Configuration of a small deployment, in the operator's format, with the figures of the sheet of carad-anvil.

export const HOST = 'assistants.example'

/** Returns a configuration; `change` replaces fields of routes by their names. */
export function configuration (version, change = {}) {
  const route = { host: HOST, priority: 0, public: false }
  const routes = [
    { ...route, name: 'drafts', 'path-prefix': '/drafts/', 'route-type': 'streaming', service: 'models', 'timeout-ms': 5000, 'target-latency-ms': 300, 'target-gap-ms': 400, 'max-attempts': 2, resumable: true, sticky: true },
    { ...route, name: 'notes', 'path-prefix': '/notes/', 'route-type': 'streaming', service: 'models', 'timeout-ms': 5000, 'target-latency-ms': 300, 'target-gap-ms': 400, 'max-attempts': 1, resumable: false, sticky: true },
    { ...route, name: 'lots', 'path-prefix': '/lots/', 'route-type': 'batch', service: 'models', 'timeout-ms': 15000, 'target-latency-ms': 400, 'max-attempts': 3, resumable: true, 'due-ms': 18000, 'max-wait-s': 60, cap: 2200000 },
    { ...route, name: 'lookup', 'path-prefix': '/lookup/', 'route-type': 'idempotent', service: 'plain', 'timeout-ms': 2500, 'target-latency-ms': 150, 'max-attempts': 2 }
  ]
  return {
    version,
    routes: routes.map(entry => ({ ...entry, ...change[entry.name] })),
    services: [{ name: 'models', 'max-conns': 370, engine: { slots: 8 } }, { name: 'plain', 'max-conns': 110 }],
    limits: { 'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 5000, 'idle-timeout-ms': 15000 }
  }
}
