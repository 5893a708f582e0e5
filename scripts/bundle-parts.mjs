// Leaves unused parts of libraries out of the bundle, as each start would load
// them together with the modules of Node.js that they require.
import {resolve} from 'node:path';

/** Modules that are replaced, by the folder of the importing package. */
const unusedModules = [
  // Requires https, TLS and zlib.
  {package: 'prom-client', module: /\/pushgateway$/},
  {package: 'prom-client', module: /\/cluster$/},
  {package: 'prom-client', module: /\/defaultMetrics$/},
  // Requires HTTP/2 and TLS; no part offers HTTP/2.
  {package: 'undici', module: /\/client-h2\.js$/},
];

/** Plugin of esbuild that replaces unused modules by `unused-part.cjs`. */
export const usedParts = {
  name: 'used-parts',
  setup(build) {
    // This is a plugin, because an alias would also match paths inside the
    // package.
    build.onResolve({filter: /^undici$/}, () => ({
      path: resolve('scripts/undici-client.cjs'),
    }));
    for (const {package: library, module} of unusedModules) {
      build.onResolve({filter: module}, ({importer}) =>
        importer.includes(`/node_modules/${library}/`)
          ? {path: resolve('scripts/unused-part.cjs')}
          : undefined,
      );
    }
  },
};
