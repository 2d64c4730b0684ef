// Tests that start processes and measure what they use. They run one at a time, apart from all other tests.
const { testPathIgnorePatterns, ...shared } = require('./jest.config')

module.exports = {
  ...shared,
  testMatch: ['<rootDir>/packages/*/src/**/__tests__/**/*Crowds.test.ts', '<rootDir>/platform/src/**/__tests__/**/*Crowds.test.ts'],
  maxWorkers: 1
}
