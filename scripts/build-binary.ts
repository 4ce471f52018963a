import {execFileSync} from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';
import {inject} from 'postject';
import {createLazyModulesPlugin, type LazyModules} from './lazy-modules.ts';

// Builds a single executable in dist, or in the folder given as argument: one bundle, injected
// into a copy of the Node that runs this script. The fuse is Node's marker for the injected blob.
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
// An instance has at most one core and a heap of some 20 MB, so helper threads of the
// garbage collector only cost processor time: a start, ten idle seconds and 150 requests
// take 1.67 s with this option and 1.80 s without (sums of medians of five alternating
// runs, npm run bench:process).
const RUNTIME_OPTIONS = ['--single-threaded-gc'];
const root = fileURLToPath(new URL('..', import.meta.url));
const dist = `${root}${process.argv[2] ?? 'dist'}`;

/** Modules that a snapshot cannot contain: they open handles or create native objects. */
const LAZY_MODULES: LazyModules = {
  builtins: [
    'async_hooks',
    'child_process',
    'crypto',
    'http',
    'https',
    'module',
    'net',
    'os',
    'perf_hooks',
    'readline',
    'stream',
    'timers/promises',
    'tls',
    'tty',
    'worker_threads',
    'zlib',
  ],
  packages: ['hdr-histogram-js/dist/HistogramBuilder.js'],
  resolveDir: `${root}packages/metrics/src`,
};

rmSync(dist, {recursive: true, force: true});
mkdirSync(dist);
await build({
  entryPoints: [`${root}packages/cli/src/snapshot-main.ts`],
  bundle: true,
  platform: 'node',
  target: 'node24',
  format: 'cjs',
  outfile: `${dist}/hollowstack.cjs`,
  // A CommonJS bundle cannot contain top-level await, and a single file cannot contain
  // the native add-on of cbor-x.
  external: ['cbor-extract'],
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: 'none',
  logLevel: 'warning',
  plugins: [createLazyModulesPlugin(LAZY_MODULES)],
});
writeFileSync(
  `${dist}/sea-config.json`,
  JSON.stringify({
    main: `${dist}/hollowstack.cjs`,
    output: `${dist}/hollowstack.blob`,
    disableExperimentalSEAWarning: true,
    useSnapshot: true,
    execArgv: RUNTIME_OPTIONS,
  }),
);
// Node loads a snapshot only with the options with which it was created.
execFileSync(process.execPath, [
  ...RUNTIME_OPTIONS,
  '--experimental-sea-config',
  `${dist}/sea-config.json`,
]);
copyFileSync(process.execPath, `${dist}/hollowstack`);
chmodSync(`${dist}/hollowstack`, 0o755);
await inject(
  `${dist}/hollowstack`,
  'NODE_SEA_BLOB',
  readFileSync(`${dist}/hollowstack.blob`),
  {sentinelFuse: SENTINEL_FUSE},
);
console.log(`built ${dist}/hollowstack`);
