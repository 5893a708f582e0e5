/**
 * Options of esbuild for the bundle. Identifiers are not minified, so that
 * stack traces and `constructor.name` show the names of the source. `keepNames`
 * would preserve them too, but it adds a call whenever a function is created,
 * also for each closure of a request.
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
