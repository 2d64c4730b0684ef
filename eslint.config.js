const neostandard = require('neostandard')

module.exports = [
  { ignores: ['**/lib/**', 'target/**', '**/gen/**', 'node_modules/**', 'docs/**', '.fleet/**'] },
  ...neostandard({ ts: true, env: ['node', 'jest'] }),
  {
    files: ['**/*.ts'],
    rules: {
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': 'off',
      'no-redeclare': 'off',
      'max-lines': ['warn', { max: 350, skipBlankLines: false, skipComments: false }]
    }
  }
]
