// Tests run on the sources, so that a stack trace points at the line that was written.
// `ts-jest` would type-check again what `npm run build` has checked already.
module.exports = {
  testMatch: ['<rootDir>/packages/*/src/**/__tests__/**/*.test.ts', '<rootDir>/platform/src/**/__tests__/**/*.test.ts', '<rootDir>/jest/__tests__/*.test.ts'],
  reporters: ['default', '<rootDir>/jest/lateHandlesReporter.js'],
  transform: { '^.+\\.[tj]s$': ['@swc/jest', { jsc: { target: 'es2022', parser: { syntax: 'typescript' } }, module: { type: 'commonjs' } }] },
  transformIgnorePatterns: ['/node_modules/(?!(lru-cache)/)'],
  moduleNameMapper: {
    '^(anvilarch-(?:utils|protocol|configuration|daemon|serving|standins|bench))$': '<rootDir>/packages/$1/src/index.ts',
    '^anvilarch-platform$': '<rootDir>/platform/src/index.ts'
  },
  testTimeout: 30000
}
