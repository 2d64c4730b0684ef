// Tests run on the sources, so that stack traces refer to source lines.
// `@swc/jest` replaces `ts-jest`, which would repeat the type check of `npm run build`.
module.exports = {
  testMatch: ['<rootDir>/packages/*/src/**/__tests__/**/*.test.ts', '<rootDir>/platform/src/**/__tests__/**/*.test.ts', '<rootDir>/jest/__tests__/*.test.ts'],
  // These run by themselves, see `jest.crowds.config.js`.
  testPathIgnorePatterns: ['/node_modules/', 'Crowds\\.test\\.ts$'],
  reporters: ['default', '<rootDir>/jest/lateHandlesReporter.js'],
  transform: { '^.+\\.[tj]s$': ['@swc/jest', { jsc: { target: 'es2022', parser: { syntax: 'typescript' } }, module: { type: 'commonjs' } }] },
  transformIgnorePatterns: ['/node_modules/(?!(lru-cache)/)'],
  moduleNameMapper: {
    '^(anvilarch-(?:utils|protocol|configuration|daemon|serving|standins|bench|platform-soak))$': '<rootDir>/packages/$1/src/index.ts',
    '^anvilarch-platform$': '<rootDir>/platform/src/index.ts'
  },
  testTimeout: 30000
}
