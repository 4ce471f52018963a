/** The hollowstack command line as a function, for programs that embed it. */
export {runCommandLine} from './run-command-line.ts';
