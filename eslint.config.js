import neostandard from 'neostandard'

export default [
  ...neostandard({
    ts: true,
    ignores: ['**/dist/**', 'target/**', 'journal/**', '**/gen/**', '**/node_modules/**', '.tap/**']
  }),
  {
    // A constant object and the type of its values share one name; the compiler finds real redeclarations.
    files: ['**/*.ts'],
    rules: { '@typescript-eslint/no-redeclare': 'off' }
  }
]
