const SEPARATOR = '.';

/** Creates unique request ids that name their instance. */
export class RequestIds {
  private readonly prefix: string;
  private nextNumber = 1;

  /** @param startedAtMs Milliseconds since the epoch; keeps ids unique across restarts. */
  constructor(instanceId: string, startedAtMs: number, random: () => number) {
    const startPart = Math.floor(startedAtMs).toString(36);
    const randomPart = Math.floor(random() * 36 ** 4).toString(36);
    this.prefix = [instanceId, startPart + randomPart].join(SEPARATOR);
  }

  createId(): string {
    return `${this.prefix}${SEPARATOR}${(this.nextNumber++).toString(36)}`;
  }
}

/** Returns the id of the instance that created a request id. */
export function getInstanceOfRequest(requestId: string): string {
  return requestId.split(SEPARATOR)[0];
}
