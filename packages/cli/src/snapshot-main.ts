// Entry point of the binary. The build runs this module once and stores the heap, so that
// a process starts with all modules of the daemon loaded. The command line is imported at
// the start of the process, since its library opens the standard streams.
import '@hollowstack/bench';
import '@hollowstack/entry';
import '@hollowstack/gateway';
import '@hollowstack/local-system';
import '@hollowstack/log-report';
import '@hollowstack/logger';
import '@hollowstack/peers';
import '@hollowstack/platform';
import '@hollowstack/transport';
import {startupSnapshot} from 'node:v8';
import {endProcess} from './end-process.ts';
import {runWarmUp} from './warm-up.ts';

runWarmUp();
startupSnapshot.setDeserializeMainFunction(() => {
  void import('./run-command-line.ts')
    .then(({runCommandLine}) => runCommandLine(process.argv.slice(2)))
    .then(endProcess);
});
