import {endProcess} from './end-process.ts';
import {runCommandLine} from './run-command-line.ts';

// A promise instead of a top-level await: the binary's bundle is CommonJS.
void runCommandLine(process.argv.slice(2)).then(endProcess);
