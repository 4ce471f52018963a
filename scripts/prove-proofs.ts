import {execFile} from 'node:child_process';
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import {availableParallelism, tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {formatCollapsed} from './collapsed-source.ts';
import {PROOFS, type Proof} from './proofs.ts';

// Disables each mechanism in a scratch copy and checks that the fuzz run or test
// of its proof fails. A mechanism whose absence no check detects is not proved.
const root = fileURLToPath(new URL('..', import.meta.url));
/** A time-out, since a test may wait forever once its mechanism is disabled. */
const TEST_TIMEOUT = '--test-timeout=60000';
const RUNS = process.argv[2] ?? '1200';
const INVARIANT_LINE = /\[cause\]: Error: ([^:]+(: no)?[^:]*):/;

const FAILED_TEST_LINE = /^✖ (.+?) \(/m;

interface Verdict {
  readonly proof: Proof;
  /** The violated invariant or failed test; undefined if the check passed. */
  readonly failedCheck: string | undefined;
}

const SELECTED = process.argv[3] ?? '';
/** The proofs whose file path contains the second argument. */
const queue = PROOFS.filter(({file}) => file.includes(SELECTED));
const verdicts: Verdict[] = [];
const workers = Array.from(
  {length: Math.max(1, availableParallelism() - 1)},
  async () => {
    for (let proof = queue.shift(); proof; proof = queue.shift()) {
      const failedCheck = await runWithoutMechanism(proof);
      verdicts.push({proof, failedCheck});
      const result = failedCheck ? `fails: ${failedCheck}` : 'NOT NOTICED';
      console.log(`${proof.promise} | ${proof.mechanism} | ${result}`);
    }
  },
);
await Promise.all(workers);
const unnoticed = verdicts.filter(({failedCheck}) => failedCheck === undefined);
console.log(`${verdicts.length} mechanisms, ${unnoticed.length} not noticed`);
process.exitCode = unnoticed.length === 0 ? 0 : 1;

async function runWithoutMechanism(proof: Proof): Promise<string | undefined> {
  const scratch = createScratchCopy();
  try {
    applyChange(scratch, proof);
    return await runCheck(scratch, proof.noticedBy);
  } finally {
    rmSync(scratch, {recursive: true, force: true});
  }
}

function createScratchCopy(): string {
  const scratch = mkdtempSync(join(tmpdir(), 'hollowstack-proof-'));
  const modules = join(scratch, 'node_modules');
  cpSync(join(root, 'packages'), join(scratch, 'packages'), {recursive: true});
  cpSync(join(root, 'platform'), join(scratch, 'platform'), {recursive: true});
  cpSync(join(root, 'package.json'), join(scratch, 'package.json'));
  mkdirSync(join(modules, '@hollowstack'), {recursive: true});
  for (const name of readdirSync(join(root, 'node_modules'))) {
    if (name === '@hollowstack' || name.startsWith('.')) continue;
    symlinkSync(join(root, 'node_modules', name), join(modules, name));
  }
  for (const name of readdirSync(join(scratch, 'packages'))) {
    symlinkSync(
      join(scratch, 'packages', name),
      join(modules, '@hollowstack', name),
    );
  }
  symlinkSync(
    join(scratch, 'platform'),
    join(modules, '@hollowstack', 'platform'),
  );
  return scratch;
}

// Compares and replaces collapsed text, so that a quote matches however the formatter
// breaks its lines.
function applyChange(scratch: string, {file, from, to}: Proof): void {
  const path = join(scratch, file);
  const before = readFileSync(path, 'utf8');
  const collapsed = formatCollapsed(before);
  if (!collapsed.includes(formatCollapsed(from))) {
    throw new Error(`${file} no longer contains: ${from}`);
  }
  writeFileSync(path, collapsed.replace(formatCollapsed(from), to));
}

function runCheck(
  scratch: string,
  noticedBy: number | string,
): Promise<string | undefined> {
  const packages = join(scratch, 'packages');
  const args =
    typeof noticedBy === 'string'
      ? ['--test', TEST_TIMEOUT, join(scratch, noticedBy)]
      : [
          join(packages, 'fuzz/src/main.ts'),
          ...['--runs', RUNS, '--seed', String(noticedBy)],
          ...['--commands', '50', '--no-shrink'],
        ];
  return new Promise(resolve => {
    execFile(
      process.execPath,
      args,
      {cwd: scratch, maxBuffer: 64 * 1024 * 1024},
      (error, stdout, stderr) => {
        if (!error) resolve(undefined);
        else resolve(findFailedCheck(stdout + stderr));
      },
    );
  });
}

function findFailedCheck(output: string): string {
  const found = INVARIANT_LINE.exec(output) ?? FAILED_TEST_LINE.exec(output);
  return found?.[1] ?? output.slice(-300);
}
