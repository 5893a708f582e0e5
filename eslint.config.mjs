import gts from 'gts';

export default [
  {ignores: ['build/', 'dist/', 'node_modules/', 'src/**/generated/']},
  ...gts,
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      'n/no-unpublished-import': 'off',
      'n/no-process-exit': 'off',
    },
  },
];
