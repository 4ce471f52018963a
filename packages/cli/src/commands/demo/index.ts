import {renderDecisions, type RequestDecisions} from '@hollowstack/decisions';
import {
  LocalSystem,
  LoopbackNetwork,
  createSeededRandom,
  type CallerAnswer,
  type SystemCaller,
} from '@hollowstack/local-system';
import {Command} from 'clipanion';
import {z} from 'zod';
import {ReportingCommand} from '../../reporting-command.ts';
import {computeChatText, computeSummaryText} from './expected-text.ts';

const answerSchema = z.object({
  requestId: z.string(),
  output: z.object({text: z.string()}),
  stages: z.array(
    z.object({stage: z.string(), upstream: z.string(), durationMs: z.number()}),
  ),
});

const CHAT_INPUT = 'Can I donate again next Tuesday in Miraflores?';
const SUMMARY_INPUT = 'Deferral history: low iron in March, travel in May.';

/** `hollowstack demo`: runs a complete system in this process and checks its answers. */
export class DemoCommand extends ReportingCommand {
  static override paths = [['demo']];
  static override usage = Command.Usage({
    description: 'run a complete system in this process and send it requests',
    details: `
      Runs two instances, the platform's service, pools, engines and a booking
      service over loopback sockets. The exit code is 0 if all answers are
      correct.
    `,
  });

  private failures = 0;

  protected async runCommand(): Promise<number> {
    const system = new LocalSystem(new LoopbackNetwork(), {
      instances: 2,
      encoders: 2,
      retrievers: 2,
      rerankers: 2,
      engines: 2,
      bookings: 1,
      random: createSeededRandom(7),
    });
    try {
      await system.start();
      await system.publish();
      await system.waitUntilReady();
      await this.runSteps(system);
    } finally {
      await system.stop();
    }
    this.print(this.failures === 0 ? 'all answers are correct' : 'FAILED');
    return this.failures === 0 ? 0 : 1;
  }

  private async runSteps(system: LocalSystem): Promise<void> {
    const caller = system.createCaller(system.instances[0]);
    const chat = await this.runChat(caller);
    await this.runSummary(caller);
    await this.runBooking(system, caller);
    await this.runRefusedChat(caller);
    const other = system.createCaller(system.instances[1]);
    await this.runWhy(other, chat);
  }

  private async runChat(caller: SystemCaller): Promise<string> {
    this.print(
      "A donor's chat turn through encode, retrieve, rerank, generate:",
    );
    const answer = await caller.runPipeline('lima-centro', 'chat', CHAT_INPUT);
    const body = answerSchema.parse(answer.body);
    this.printAnswer(body.output.text, body.stages);
    this.checkAnswer(body.output.text === computeChatText(CHAT_INPUT), 'chat');
    return body.requestId;
  }

  private async runSummary(caller: SystemCaller): Promise<void> {
    this.print('A deferral summary, streamed:');
    const answer = await caller.runStreamedPipeline(
      'lima-centro',
      'summary',
      SUMMARY_INPUT,
    );
    this.printAnswer(answer.text, readStages(answer.end));
    const isCorrect = answer.text === computeSummaryText(SUMMARY_INPUT);
    this.checkAnswer(isCorrect && answer.end !== undefined, 'summary');
  }

  private async runBooking(
    system: LocalSystem,
    caller: SystemCaller,
  ): Promise<void> {
    this.print('A booking, sent twice with one idempotency key:');
    const booking = {donor: 'd-118', slot: '2026-12-08T09:30'};
    const send = () =>
      caller.send(
        'POST',
        '/v1/workspaces/lima-centro/services/booking/bookings',
        booking,
        {'idempotency-key': 'booking-118'},
      );
    const first = await send();
    const second = await send();
    const runCount = system.bookings[0].standIn.getRunCount(
      JSON.stringify(booking),
    );
    this.print(
      `  status ${first.status} and ${second.status}, ran ${runCount} time`,
    );
    this.checkAnswer(
      runCount === 1 && second.status === first.status,
      'booking',
    );
  }

  private async runRefusedChat(caller: SystemCaller): Promise<void> {
    this.print('A chat turn whose deadline no upstream can meet:');
    const answer = await caller.runPipeline('lima-centro', 'chat', CHAT_INPUT, {
      'hollowstack-deadline-ms': '5',
    });
    this.printProblem(answer);
    const isCorrect =
      answer.problem?.kind === 'deadline-unreachable' &&
      answer.problem.ran === 'no';
    this.checkAnswer(isCorrect, 'refusal');
  }

  private async runWhy(caller: SystemCaller, requestId: string): Promise<void> {
    this.print(
      'The decisions about the chat turn, asked of the other instance:',
    );
    const answer = await caller.callOperator('GET', `why/${requestId}`);
    this.checkAnswer(answer.status === 200, 'why');
    if (answer.status !== 200) return;
    this.print(renderDecisions(answer.body as RequestDecisions));
    this.print('');
  }

  private printAnswer(
    text: string,
    stages: z.infer<typeof answerSchema>['stages'],
  ): void {
    this.print(`  "${text.trim().slice(0, 60)}..."`);
    const times = stages.map(
      ({stage, upstream, durationMs}) =>
        `${stage} ${durationMs.toFixed(0)} ms at ${upstream}`,
    );
    this.print(`  ${times.join(', ')}\n`);
  }

  private printProblem({status, problem}: CallerAnswer): void {
    this.print(
      `  status ${status}: ${problem?.kind}, ran: ${problem?.ran}, retry after ${problem?.retryAfterMs} ms`,
    );
    this.print(`  ${problem?.detail}\n`);
  }

  private checkAnswer(isCorrect: boolean, step: string): void {
    if (isCorrect) return;
    this.failures += 1;
    this.context.stderr.write(`${step}: the answer is wrong\n`);
  }
}

function readStages(end: unknown): z.infer<typeof answerSchema>['stages'] {
  const parsed = answerSchema.pick({stages: true}).safeParse(end);
  return parsed.data?.stages ?? [];
}
