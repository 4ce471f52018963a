import fc from 'fast-check';
import type {FaultSetting} from '@hollowstack/stand-ins';
import type {FuzzHarness} from './fuzz-harness.ts';

/** The model: only what decides whether a command makes sense. */
export interface FuzzModel {
  requests: number;
}

/** One step of a run. */
export type FuzzCommand = fc.AsyncCommand<FuzzModel, FuzzHarness>;

/** A command made of a name, its arguments and what it does. */
class NamedCommand implements FuzzCommand {
  private readonly text: string;
  private readonly action: (world: FuzzHarness) => Promise<void> | void;

  constructor(
    text: string,
    action: (world: FuzzHarness) => Promise<void> | void,
  ) {
    this.text = text;
    this.action = action;
  }

  check(): boolean {
    return true;
  }

  async run(_model: FuzzModel, world: FuzzHarness): Promise<void> {
    await this.action(world);
    // A moment for what the command set going, far less than any deadline.
    await world.clock.advance(1);
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
          world => world.sendPipeline(instance, pipeline, isStreamed),
        ),
    ),
  fc
    .tuple(index, fc.boolean())
    .map(
      ([instance, hasKey]) =>
        new NamedCommand(
          `book(${instance}, ${hasKey ? 'keyed' : 'unkeyed'})`,
          world => world.sendBooking(instance, hasKey),
        ),
    ),
  fc
    .tuple(index, index)
    .map(
      ([instance, which]) =>
        new NamedCommand(`resend(${instance}, ${which})`, world =>
          world.sendBookingAgain(instance, which),
        ),
    ),
  index.map(
    which =>
      new NamedCommand(`cancelCaller(${which})`, world =>
        world.cancelCaller(which),
      ),
  ),
];

const instances = [
  index.map(
    which =>
      new NamedCommand(`kill(${which})`, world => world.killInstance(which)),
  ),
  index.map(
    which =>
      new NamedCommand(`pause(${which})`, world => world.pauseInstance(which)),
  ),
  fc.constant(
    new NamedCommand('resumeAll()', world => world.resumeInstances()),
  ),
  index.map(
    which =>
      new NamedCommand(`drain(${which})`, world => world.drainInstance(which)),
  ),
  fc
    .tuple(index, index, fc.boolean())
    .map(
      ([left, right, isCut]) =>
        new NamedCommand(`cut(${left}, ${right}, ${isCut})`, world =>
          world.network.setPartitioned(
            world.getInstance(left).id,
            world.getInstance(right).id,
            isCut,
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
        world => {
          const all = world.listUpstreams();
          all[which % all.length].standIn.faults.setSetting(setting);
        },
      ),
  ),
  fc.tuple(index, fc.boolean()).map(
    ([which, isGone]) =>
      new NamedCommand(`gone(${which}, ${isGone})`, world => {
        const all = world.listUpstreams();
        const {id} = all[which % all.length].upstream;
        for (const instance of world.system.instances) {
          world.network.setPartitioned(id, instance.id, isGone);
        }
      }),
  ),
  fc
    .tuple(index, fc.boolean())
    .map(
      ([which, isLeaving]) =>
        new NamedCommand(`listed(${which}, leaving: ${isLeaving})`, world =>
          world.setListedLeaving(which, isLeaving),
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
      new NamedCommand(`platform(${JSON.stringify(faults)})`, world =>
        world.setPlatformFaults(faults),
      ),
  ),
  fc.constant(
    new NamedCommand('backup()', world => world.system.platform.createBackup()),
  ),
  fc.constant(new NamedCommand('restore()', world => world.restoreStore())),
  fc
    .tuple(index, fc.nat({max: 1}))
    .map(
      ([instance, pool]) =>
        new NamedCommand(`publish(${instance}, pool ${pool})`, world =>
          world.publishChange(instance, pool),
        ),
    ),
];

const time = fc
  .constantFrom(5, 40, 150, 600, 2000)
  .map(
    durationMs =>
      new NamedCommand(`advance(${durationMs})`, world =>
        world.clock.advance(durationMs),
      ),
  );

/** Creates runs of commands, of which half send requests or let time pass. */
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
