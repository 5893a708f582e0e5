/**
 * How esbuild makes the bundle. Identifiers stay as written, so that stack
 * traces and `constructor.name` tell them. `keepNames` would tell them too, by
 * a call for each function that is made: also for each closure of a request.
 */
export const bundleOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifyWhitespace: true,
  minifySyntax: true,
  minifyIdentifiers: false,
  legalComments: 'none',
  logLevel: 'warning',
};
