/** Checks of the document that involve more than one field. */
import { describeValue, type FieldPath, type FieldProblem, oneOfNames } from './problems'
import { suggestNames } from './suggestions'
import type { ConfigurationDocument, ModelService, PlainService } from './types'

/**
 * @param document - a document that matches the schema
 * @returns its problems
 */
export function checkDocument (document: ConfigurationDocument): FieldProblem[] {
  return [
    ...checkFailureDomains(document),
    ...checkServices(document),
    ...checkCallerKeys(document),
    ...checkLimits(document)
  ]
}

/** A failure domain in two regions would make spreading over regions meaningless. */
function checkFailureDomains (document: ConfigurationDocument): FieldProblem[] {
  const regionOf = new Map<string, string>()
  return Object.entries(document.regions).flatMap(([region, { failureDomains }]) =>
    failureDomains.flatMap((failureDomain, index) => {
      const other = regionOf.get(failureDomain)
      regionOf.set(failureDomain, region)
      if (other === undefined) return []
      return [{
        path: ['regions', region, 'failureDomains', index],
        found: `${describeValue(failureDomain)}, which region ${describeValue(other)} has too`,
        expected: 'each failure domain in one region, once'
      }]
    }))
}

function checkServices (document: ConfigurationDocument): FieldProblem[] {
  const checks = {
    model: (path: FieldPath, service: ModelService) => checkModelService(document, path, service),
    plain: (path: FieldPath, service: PlainService) => checkRoutes(path, service)
  }
  return Object.entries(document.services).flatMap(([name, service]) => {
    const path = ['services', name]
    return service.kind === 'model' ? checks.model(path, service) : checks.plain(path, service)
  })
}

function checkModelService (document: ConfigurationDocument, path: FieldPath, service: ModelService): FieldProblem[] {
  const problems = [
    ...checkNames(service.failureDomains, allFailureDomains(document), [...path, 'failureDomains'], 'regions'),
    ...checkDuplicates(service.adapters, [...path, 'adapters']),
    ...checkDuplicates(service.classes, [...path, 'classes'])
  ]
  const modelNames = Object.keys(document.models)
  if (!modelNames.includes(service.model)) return [...checkName(service.model, modelNames, [...path, 'model'], 'models'), ...problems]
  const model = document.models[service.model]
  const modelField = `models.${service.model}`
  return [
    ...checkName(service.version, Object.keys(model.versions), [...path, 'version'], `${modelField}.versions`),
    ...checkNames(service.adapters, model.adapters, [...path, 'adapters'], `${modelField}.adapters`),
    ...problems
  ]
}

function checkRoutes (path: FieldPath, service: PlainService): FieldProblem[] {
  const seen = new Map<string, number>()
  return service.routes.flatMap((route, index) => {
    const key = `${route.method} ${route.path.replace(/:[^/]+/g, ':')}`
    const first = seen.get(key)
    if (first === undefined) {
      seen.set(key, index)
      return []
    }
    return [{
      path: [...path, 'routes', index],
      found: `the route ${route.method} ${route.path}, which matches the same calls as routes[${first}]`,
      expected: 'each route once'
    }]
  })
}

/** Two accounts with the same key could not be distinguished. */
function checkCallerKeys (document: ConfigurationDocument): FieldProblem[] {
  const callerOf = new Map<string, string>()
  return Object.entries(document.callers).flatMap(([caller, { keySha256 }]) => {
    if (keySha256 === undefined) return []
    const other = callerOf.get(keySha256)
    callerOf.set(keySha256, caller)
    if (other === undefined) return []
    return [{ path: ['callers', caller, 'keySha256'], found: `the key of caller ${describeValue(other)}`, expected: 'a key of its own for each caller' }]
  })
}

function checkLimits (document: ConfigurationDocument): FieldProblem[] {
  const { maxItemBytes, maxFileBytes } = document.limits
  if (maxItemBytes <= maxFileBytes) return []
  return [{ path: ['limits', 'maxItemBytes'], found: String(maxItemBytes), expected: `at most maxFileBytes, which is ${maxFileBytes}` }]
}

function allFailureDomains (document: ConfigurationDocument): string[] {
  return Object.values(document.regions).flatMap(region => region.failureDomains)
}

function checkNames (names: string[], known: string[], path: FieldPath, where: string): FieldProblem[] {
  return names.flatMap((name, index) => checkName(name, known, [...path, index], where))
}

function checkName (name: string, known: string[], path: FieldPath, where: string): FieldProblem[] {
  if (known.includes(name)) return []
  return [{ path, found: describeValue(name), expected: oneOfNames(known, where), didYouMean: suggestNames(name, known) }]
}

function checkDuplicates (names: string[], path: FieldPath): FieldProblem[] {
  return names.flatMap((name, index) => {
    if (names.indexOf(name) === index) return []
    return [{ path: [...path, index], found: `${describeValue(name)} a second time`, expected: 'each entry once' }]
  })
}
