import {endProcess} from './end-process.ts';
import {runCommandLine} from './run-command-line.ts';

// No top-level await, since the binary's bundle is CommonJS.
void runCommandLine(process.argv.slice(2)).then(endProcess);
