/** The program's version; the build replaces it by that of package.json. */
declare const FOXBARROW_VERSION: string | undefined;

export const version =
  typeof FOXBARROW_VERSION === 'string' ? FOXBARROW_VERSION : '0.1.0-dev';
