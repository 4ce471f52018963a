import {HollowstackError} from '@hollowstack/errors';
import {Command} from 'clipanion';

/** Exit code for a call that was understood but not granted. */
const FAILED = 1;
/** Exit code for input that cannot be read. */
const BAD_INPUT = 2;

/** A command whose errors are told in one piece: what is wrong, and what to do. */
export abstract class ReportingCommand extends Command {
  /** Does the command's work and resolves to its exit code. */
  protected abstract runCommand(): Promise<number>;

  override async execute(): Promise<number> {
    try {
      return await this.runCommand();
    } catch (thrown) {
      if (!(thrown instanceof HollowstackError)) throw thrown;
      const isInput =
        thrown.kind === 'configuration-invalid' ||
        thrown.kind === 'bad-request';
      const advice = isInput
        ? 'Mend that and run the same command again.\n'
        : '';
      this.context.stderr.write(`${thrown.message}\n${advice}`);
      return isInput ? BAD_INPUT : FAILED;
    }
  }

  protected print(text: string): void {
    this.context.stdout.write(text + '\n');
  }
}
