/** Which parts may import which; `npm run lint` fails on a violation. */
const isTest = '\\.test\\.ts$|/fakes/';

/** The slices of `src/` from the ground up; each uses those before it. */
const slices = require('./scripts/slices.json');

/** A rule for each slice: it imports none of those above it. */
const upwards = slices.slice(0, -1).map((slice, index) => ({
  name: `${slice}-upwards`,
  comment: `${slice} is used by the slices above it and knows none of them.`,
  severity: 'error',
  from: {path: `^src/${slice}/`, pathNot: isTest},
  to: {path: `^src/(${slices.slice(index + 1).join('|')})/`},
}));

module.exports = {
  forbidden: [
    ...upwards,
    {
      name: 'no-circle',
      comment: 'Parts that import each other can only be read together.',
      severity: 'error',
      from: {},
      to: {circular: true},
    },
    {
      name: 'decisions-without-io',
      comment:
        'What decides about requests is tested without a network: it takes calls and time as values, and asks for hops by messages/hops.ts.',
      severity: 'error',
      from: {path: '^src/request/decisions/', pathNot: isTest},
      to: {
        path: [
          '^src/request/(transport/|[^/]+\\.ts$)',
          '^src/(link|disk|process|metrics|admin)/',
          '^(node:)?(net|http|https|http2|tls|dgram|stream|fs|timers|child_process|worker_threads)(/|$)',
          'node_modules/(undici|polka|sonic-boom|msgpackr|ws)/',
        ],
      },
    },
    {
      name: 'transport-without-decisions',
      comment: 'What carries requests neither chooses nor refuses by itself.',
      severity: 'error',
      from: {path: '^src/request/transport/', pathNot: isTest},
      to: {path: '^src/request/(decisions/|[^/]+\\.ts$)'},
    },
    {
      name: 'messages-below-both',
      severity: 'error',
      from: {path: '^src/request/messages/', pathNot: isTest},
      to: {path: '^src/request/(decisions/|transport/|[^/]+\\.ts$)'},
    },
  ],
  options: {
    doNotFollow: {path: 'node_modules'},
    tsPreCompilationDeps: true,
    tsConfig: {fileName: 'tsconfig.json'},
    enhancedResolveOptions: {
      conditionNames: ['import', 'require', 'node', 'default', 'types'],
      exportsFields: ['exports'],
    },
  },
};
