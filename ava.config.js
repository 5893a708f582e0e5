export default {
  files: ['build/**/*.test.js'],
  concurrency: 4,
  timeout: '120s',
};
