import {createWriteStream, type WriteStream} from 'node:fs';

/** Writes what was sent, answered and run to a file, with the milliseconds since the start. */
export class Recorder {
  private readonly file: WriteStream;
  private readonly startedAtMs = performance.now();

  constructor(path: string) {
    this.file = createWriteStream(path);
  }

  /** Returns the milliseconds since the start of the record. */
  getNow(): number {
    return performance.now() - this.startedAtMs;
  }

  /** Writes one line. */
  write(text: string): void {
    const seconds = (this.getNow() / 1000).toFixed(3).padStart(8);
    this.file.write(`${seconds} s  ${text}\n`);
  }

  /** Writes one line to the record and to standard output. */
  report(text: string): void {
    this.write(text);
    console.log(text);
  }

  /** Resolves once all lines are written. */
  close(): Promise<void> {
    return new Promise(resolve => this.file.end(() => resolve()));
  }
}
