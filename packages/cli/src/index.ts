/** The hollowstack command line as a function, for programs that carry it. */
export {runCommandLine} from './run-command-line.ts';
