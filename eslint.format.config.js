import neostandard from 'neostandard'

const style = neostandard({ ts: true }).map(({ rules, ...rest }) => ({
  ...rest,
  rules: Object.fromEntries(Object.entries(rules ?? {}).filter(([name]) => name.startsWith('@stylistic/')))
}))

export default [
  { ignores: ['**/dist/**', 'out/**', 'target/**'] },
  { linterOptions: { reportUnusedDisableDirectives: 'off' } },
  ...style,
  { files: ['**/*.ts'], rules: { '@stylistic/max-len': ['error', { code: 140, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreUrls: true }] } }
]
