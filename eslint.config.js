import {readFileSync} from 'node:fs';
import gts from 'gts';
import jsdoc from 'eslint-plugin-jsdoc';

// The verbs are those of the page, so that page and check cannot differ.
const page = readFileSync(new URL('docs/VERBS.md', import.meta.url), 'utf8');
const verbs = [...page.matchAll(/^\| ([a-z, ]+) \|/gm)]
  .flatMap(([, cell]) => cell.trim().split(', '))
  .filter(verb => verb !== 'verb');
const verbPattern = `^(${verbs.join('|')})([A-Z0-9].*)?$`;

export default [
  {
    ignores: [
      'dist/',
      'target/',
      'journal/',
      'node_modules/',
      'out/',
      'eslint.config.js',
      '**/*.d.ts',
    ],
  },
  ...gts,
  {
    files: ['**/*.ts'],
    plugins: {jsdoc},
    rules: {
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: ['function', 'classMethod', 'objectLiteralMethod'],
          format: ['camelCase'],
          custom: {regex: verbPattern, match: true},
        },
      ],
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          checkConstructors: false,
          checkGetters: false,
          require: {
            ClassDeclaration: true,
            FunctionDeclaration: true,
            MethodDefinition: false,
          },
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
        },
      ],
      'jsdoc/no-bad-blocks': 'error',
      // Type checks know every import; the rule cannot resolve workspaces.
      'n/no-missing-import': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'error',
      'no-restricted-syntax': [
        'error',
        {
          selector:
            "CallExpression[callee.property.name='addEventListener'][arguments.0.value='abort']",
          message:
            'A listener that is added after the abort never runs: use addAbortHandler.',
        },
      ],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
    },
  },
  {
    files: ['packages/cancellation/src/abort-handler.ts'],
    rules: {'no-restricted-syntax': 'off'},
  },
  {
    files: ['**/*.test.ts'],
    rules: {'@typescript-eslint/no-floating-promises': 'off'},
  },
];
