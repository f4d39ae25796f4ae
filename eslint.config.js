import { configs, plugins } from 'eslint-config-airbnb-extended';

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'report/**', 'target/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    rules: {
      // Prettier owns layout.
      '@stylistic/arrow-parens': 'off',
      '@stylistic/function-paren-newline': 'off',
      '@stylistic/implicit-arrow-linebreak': 'off',
      '@stylistic/indent': 'off',
      '@stylistic/max-len': 'off',
      '@stylistic/newline-per-chained-call': 'off',
      '@stylistic/no-confusing-arrow': 'off',
      '@stylistic/no-mixed-operators': 'off',
      '@stylistic/object-curly-newline': 'off',
      '@stylistic/operator-linebreak': 'off',
      '@stylistic/quote-props': 'off',
      '@stylistic/quotes': 'off',
      '@stylistic/generator-star-spacing': 'off',
      '@stylistic/nonblock-statement-body-position': 'off',
      '@stylistic/lines-between-class-members': 'off',
      // Tasks are written straight down: a loop awaits each of its steps in turn.
      'no-await-in-loop': 'off',
      'no-constant-condition': ['error', { checkLoops: false }],
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      'no-param-reassign': ['error', { props: false }],
      'no-promise-executor-return': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'import-x/extensions': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      'max-classes-per-file': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-process-exit': 'off',
      'n/hashbang': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
  {
    files: ['packages/base/src/hash.ts', 'packages/base/src/random.ts'],
    rules: { 'no-bitwise': 'off' },
  },
  {
    files: ['**/*.ts'],
    rules: {
      // Branded constructors share the name of their type.
      '@typescript-eslint/no-redeclare': 'off',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {
              from: 'package',
              package: 'node:test',
              name: ['test', 'before', 'after', 'describe'],
            },
          ],
        },
      ],
      'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }],
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, classes: false, variables: false },
      ],
      'no-use-before-define': 'off',
    },
    languageOptions: { parserOptions: { projectService: true } },
  },
];
