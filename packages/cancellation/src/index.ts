/** Reactions to aborted signals and closed streams that miss neither. */
export {addAbortHandler, rejectOnAbort} from './abort-handler.ts';
export {
  addCloseHandler,
  waitForDrain,
  type ClosableStream,
} from './close-handler.ts';
