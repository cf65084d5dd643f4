import neostandard from 'neostandard'

export default [
  { ignores: ['**/dist/**', 'out/**', 'target/**'] },
  ...neostandard({ ts: true, noStyle: true }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      'no-redeclare': 'off',
      eqeqeq: ['error', 'always']
    }
  }
]
