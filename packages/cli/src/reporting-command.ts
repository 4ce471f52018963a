import {HollowstackError} from '@hollowstack/errors';
import {Command} from 'clipanion';

/** Exit code for a valid call that failed. */
const FAILED_EXIT_CODE = 1;
/** Exit code for invalid input. */
const BAD_INPUT_EXIT_CODE = 2;

/** A command that prints an error with its cause and the next step, and no stack. */
export abstract class ReportingCommand extends Command {
  /** Runs the command and resolves to its exit code. */
  protected abstract runCommand(): Promise<number>;

  override async execute(): Promise<number> {
    try {
      return await this.runCommand();
    } catch (thrown) {
      if (!(thrown instanceof HollowstackError)) throw thrown;
      const isInputError =
        thrown.kind === 'configuration-invalid' ||
        thrown.kind === 'bad-request';
      const advice = isInputError
        ? 'Correct the input and run the same command again.\n'
        : '';
      this.context.stderr.write(`${thrown.message}\n${advice}`);
      return isInputError ? BAD_INPUT_EXIT_CODE : FAILED_EXIT_CODE;
    }
  }

  protected print(text: string): void {
    this.context.stdout.write(text + '\n');
  }
}
