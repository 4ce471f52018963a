import {spawn, type ChildProcess as NodeChild} from 'node:child_process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const COMMAND_LINE = fileURLToPath(
  import.meta.resolve('@hollowstack/cli/main'),
);

/** A process of the command-line program; records its lines of standard output. */
export class ChildProcess {
  readonly lines: string[] = [];
  /** Resolves to the exit code, or to null if a signal ended the process. */
  readonly exited: Promise<number | null>;
  private readonly child: NodeChild;
  private listeners: Array<() => void> = [];
  private hasExited = false;

  /** @param imports Modules that the process loads before the command-line program. */
  constructor(args: readonly string[], imports: readonly string[] = []) {
    const options = imports.flatMap(module => ['--import', module]);
    this.child = spawn(process.execPath, [...options, COMMAND_LINE, ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    createInterface({input: this.child.stdout!}).on('line', line => {
      this.lines.push(line);
      this.callListeners();
    });
    this.exited = new Promise(resolve => {
      this.child.once('exit', code => {
        this.hasExited = true;
        this.callListeners();
        resolve(code);
      });
    });
  }

  /** Id of the process; undefined if it could not be started. */
  get pid(): number | undefined {
    return this.child.pid;
  }

  /**
   * Resolves to the first line that matches, among those already printed and later ones.
   *
   * @throws Error with the output if the process exits without such a line.
   */
  waitForLine(isMatch: (line: string) => boolean): Promise<string> {
    return new Promise((resolve, reject) => {
      const settleIfFound = () => {
        const matchingLine = this.lines.find(isMatch);
        if (matchingLine === undefined && !this.hasExited) return false;
        if (matchingLine === undefined) {
          reject(new Error(`process exited:\n${this.lines.join('\n')}`));
        } else {
          resolve(matchingLine);
        }
        return true;
      };
      if (settleIfFound()) return;
      const listener = () => {
        if (settleIfFound()) {
          this.listeners = this.listeners.filter(other => other !== listener);
        }
      };
      this.listeners.push(listener);
    });
  }

  /** Sends a signal to the process; does nothing once it has exited. */
  send(signal: NodeJS.Signals): void {
    if (!this.hasExited) this.child.kill(signal);
  }

  private callListeners(): void {
    for (const listener of [...this.listeners]) listener();
  }
}
