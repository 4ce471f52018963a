import fc from 'fast-check';
import type {FaultSetting} from '@hollowstack/stand-ins';
import type {FuzzHarness} from './fuzz-harness.ts';

/** The model of fast-check's model-based testing; every command may run in any state. */
export interface FuzzModel {
  requests: number;
}

/** One command of a fuzz run. */
export type FuzzCommand = fc.AsyncCommand<FuzzModel, FuzzHarness>;

/** A command that runs an action; its text names the command and its arguments. */
class NamedCommand implements FuzzCommand {
  private readonly text: string;
  private readonly action: (harness: FuzzHarness) => Promise<void> | void;

  constructor(
    text: string,
    action: (harness: FuzzHarness) => Promise<void> | void,
  ) {
    this.text = text;
    this.action = action;
  }

  check(): boolean {
    return true;
  }

  async run(_model: FuzzModel, harness: FuzzHarness): Promise<void> {
    await this.action(harness);
    // Lets work that the command started begin; far shorter than any deadline.
    await harness.clock.advance(1);
  }

  toString(): string {
    return this.text;
  }
}

const MAX_INDEX = 11;
const index = fc.nat({max: MAX_INDEX});

const sends = [
  fc
    .tuple(
      index,
      fc.constantFrom('chat' as const, 'summary' as const),
      fc.boolean(),
    )
    .map(
      ([instance, pipeline, isStreamed]) =>
        new NamedCommand(
          `send(${instance}, ${pipeline}, ${isStreamed ? 'streamed' : 'whole'})`,
          harness => harness.sendPipeline(instance, pipeline, isStreamed),
        ),
    ),
  fc
    .tuple(index, fc.boolean())
    .map(
      ([instance, hasKey]) =>
        new NamedCommand(
          `book(${instance}, ${hasKey ? 'keyed' : 'unkeyed'})`,
          harness => harness.sendBooking(instance, hasKey),
        ),
    ),
  fc
    .tuple(index, index)
    .map(
      ([instance, which]) =>
        new NamedCommand(`resend(${instance}, ${which})`, harness =>
          harness.sendBookingAgain(instance, which),
        ),
    ),
  index.map(
    which =>
      new NamedCommand(`cancelCaller(${which})`, harness =>
        harness.cancelCaller(which),
      ),
  ),
];

const instances = [
  index.map(
    which =>
      new NamedCommand(`kill(${which})`, harness =>
        harness.killInstance(which),
      ),
  ),
  index.map(
    which =>
      new NamedCommand(`pause(${which})`, harness =>
        harness.pauseInstance(which),
      ),
  ),
  fc.constant(
    new NamedCommand('resumeAll()', harness => harness.resumeInstances()),
  ),
  index.map(
    which =>
      new NamedCommand(`drain(${which})`, harness =>
        harness.drainInstance(which),
      ),
  ),
  fc
    .tuple(index, index, fc.boolean())
    .map(
      ([left, right, isPartitioned]) =>
        new NamedCommand(`cut(${left}, ${right}, ${isPartitioned})`, harness =>
          harness.network.setPartitioned(
            harness.getInstance(left).id,
            harness.getInstance(right).id,
            isPartitioned,
          ),
        ),
    ),
];

const upstreamSetting: fc.Arbitrary<Partial<FaultSetting>> = fc.oneof(
  fc
    .constantFrom(
      'ok' as const,
      'failing' as const,
      'wedged' as const,
      'leaving' as const,
      'crossed' as const,
      'cutting' as const,
      'truncating' as const,
    )
    .map(mode => ({mode})),
  fc.constantFrom(1, 3, 20).map(slowFactor => ({slowFactor})),
);

const upstreams = [
  fc.tuple(index, upstreamSetting).map(
    ([which, setting]) =>
      new NamedCommand(
        `upstream(${which}, ${JSON.stringify(setting)})`,
        harness => {
          const all = harness.listUpstreams();
          all[which % all.length].standIn.faults.setSetting(setting);
        },
      ),
  ),
  fc.tuple(index, fc.boolean()).map(
    ([which, isUnreachable]) =>
      new NamedCommand(`gone(${which}, ${isUnreachable})`, harness => {
        const all = harness.listUpstreams();
        const {id} = all[which % all.length].upstream;
        for (const instance of harness.system.instances) {
          harness.network.setPartitioned(id, instance.id, isUnreachable);
        }
      }),
  ),
  fc
    .tuple(index, fc.boolean())
    .map(
      ([which, isLeaving]) =>
        new NamedCommand(`listed(${which}, leaving: ${isLeaving})`, harness =>
          harness.setListedLeaving(which, isLeaving),
        ),
    ),
];

const platformFaults = fc.oneof(
  fc.boolean().map(isDown => ({isDown})),
  fc.constantFrom(0, 50, 700, 1500).map(delayMs => ({delayMs})),
  fc.constantFrom(1, 2, 5).map(lostReplies => ({lostReplies})),
  fc.boolean().map(isStale => ({isStale})),
  fc.boolean().map(isWatchSilent => ({isWatchSilent})),
);

const platform = [
  platformFaults.map(
    faults =>
      new NamedCommand(`platform(${JSON.stringify(faults)})`, harness =>
        harness.setPlatformFaults(faults),
      ),
  ),
  fc.constant(
    new NamedCommand('backup()', harness =>
      harness.system.platform.createBackup(),
    ),
  ),
  fc.constant(new NamedCommand('restore()', harness => harness.restoreStore())),
  fc
    .tuple(index, fc.nat({max: 1}))
    .map(
      ([instance, pool]) =>
        new NamedCommand(`publish(${instance}, pool ${pool})`, harness =>
          harness.publishChange(instance, pool),
        ),
    ),
];

const time = fc
  .constantFrom(5, 40, 150, 600, 2000)
  .map(
    durationMs =>
      new NamedCommand(`advance(${durationMs})`, harness =>
        harness.clock.advance(durationMs),
      ),
  );

/** Creates an arbitrary for sequences of commands; requests and time steps are weighted more heavily. */
export function createCommandArbitrary(
  maxCommands: number,
): fc.Arbitrary<Iterable<FuzzCommand>> {
  return fc.commands(
    [
      ...sends,
      ...sends,
      time,
      time,
      time,
      ...instances,
      ...upstreams,
      ...platform,
    ] as Array<fc.Arbitrary<FuzzCommand>>,
    {maxCommands, size: 'max'},
  );
}
