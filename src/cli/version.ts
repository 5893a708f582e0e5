/** The version of the program; the build replaces it with that of package.json. */
declare const FOXBARROW_VERSION: string | undefined;

export const version =
  typeof FOXBARROW_VERSION === 'string' ? FOXBARROW_VERSION : '0.1.0-dev';
