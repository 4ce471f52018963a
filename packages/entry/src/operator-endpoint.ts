import {
  checkConfiguration,
  readChangeRecords,
  type ConfigurationFollower,
  type ConfigurationHolder,
  type ConfigurationPublisher,
  type PublishResult,
} from '@hollowstack/config-log';
import {HollowstackError} from '@hollowstack/errors';
import type {EventLogger} from '@hollowstack/logger';
import type {KeyValueStore} from '@hollowstack/store';
import {configObjectSchema} from '@hollowstack/types';
import {
  createJsonResponse,
  hasBearerKey,
  type HttpResponse,
} from '@hollowstack/transport';
import {z} from 'zod';
import {Endpoint, type EndpointRequest} from './endpoint.ts';
import {readJsonBody} from './json-body.ts';
import type {StatusReader} from './status-reader.ts';
import type {DecisionReader} from './decision-reader.ts';

/** Dependencies of the endpoint. */
export interface OperatorEndpointParts {
  readonly store: KeyValueStore;
  readonly holder: ConfigurationHolder;
  readonly follower: ConfigurationFollower;
  readonly publisher: ConfigurationPublisher;
  readonly logger: EventLogger;
  readonly statusReader: StatusReader;
  readonly decisionReader: DecisionReader;
  /** Bearer tokens that are accepted. */
  readonly keys: readonly string[];
  /** Maximum nesting depth of a JSON body. */
  readonly jsonDepth: number;
}

const publishSchema = z.object({
  changeId: z.string().min(8).max(64),
  author: z.string().min(1),
  baseRevision: z.number().int().nonnegative().optional(),
  objects: z.array(configObjectSchema),
  removals: z.array(z.string()).default([]),
});

const restoreSchema = z.object({
  changeId: z.string().min(8).max(64),
  author: z.string().min(1),
});

/** Serves operator calls below `/v1/operator/`. */
export class OperatorEndpoint extends Endpoint {
  private readonly parts: OperatorEndpointParts;

  constructor(parts: OperatorEndpointParts) {
    super();
    this.parts = parts;
  }

  isFor({segments}: EndpointRequest): boolean {
    return segments[0] === 'v1' && segments[1] === 'operator';
  }

  async handle(request: EndpointRequest): Promise<HttpResponse> {
    this.checkKey(request);
    const call = [request.http.method, ...request.segments.slice(2, 4)];
    switch (call.join(' ')) {
      case 'GET configuration':
        return createJsonResponse(200, this.getSnapshot());
      case 'POST configuration':
        return this.publish(request);
      case 'POST check':
        return this.check(request);
      case 'POST restore':
        return this.restore(request);
      case 'GET history':
        return createJsonResponse(200, {
          changes: await readChangeRecords(this.parts.store),
        });
      case 'GET status':
        return createJsonResponse(200, this.parts.statusReader.readStatus());
      case `GET why ${request.segments[3]}`:
        return createJsonResponse(
          200,
          await this.parts.decisionReader.readDecisions(request.segments[3]),
        );
      default:
        throw new HollowstackError('not-found', 'no such operator call');
    }
  }

  // hasBearerKey compares hashes, so that the response time reveals neither
  // length nor content of a key.
  private checkKey(request: EndpointRequest): void {
    const {authorization} = request.http.headers;
    if (hasBearerKey(authorization, this.parts.keys)) return;
    throw new HollowstackError('unauthorized', 'operator key is not known');
  }

  private getSnapshot(): object {
    const configuration = this.parts.holder.getCurrent();
    if (configuration) return configuration.snapshot;
    return {head: {revision: 0, changeId: '', objects: []}, objects: []};
  }

  private async check(request: EndpointRequest): Promise<HttpResponse> {
    const {objects} = readJsonBody(
      request.http,
      publishSchema,
      this.parts.jsonDepth,
    );
    return createJsonResponse(200, {findings: checkConfiguration(objects)});
  }

  private async publish(request: EndpointRequest): Promise<HttpResponse> {
    const {holder, follower, publisher, logger, jsonDepth} = this.parts;
    const body = readJsonBody(request.http, publishSchema, jsonDepth);
    await follower.refresh();
    const inForce = holder.getRevision();
    const published = await publisher.publish(
      {...body, baseRevision: body.baseRevision ?? inForce},
      () => holder.getRevision(),
    );
    logger.logEvent('config.published', {
      revision: published.revision,
      changeId: published.changeId,
      author: body.author,
    });
    await this.applyPublished(published);
    return this.createPublishedResponse(published);
  }

  private async restore(request: EndpointRequest): Promise<HttpResponse> {
    const {holder, publisher, jsonDepth} = this.parts;
    const body = readJsonBody(request.http, restoreSchema, jsonDepth);
    const current = holder.getCurrent();
    if (!current) {
      throw new HollowstackError('not-ready', 'nothing is in force here');
    }
    const published = await publisher.restore(current.snapshot, body);
    await this.applyPublished(published);
    return this.createPublishedResponse(published);
  }

  // The publishing instance applies the change without reading it back. If the
  // store loses the change right after, peers still receive it from here.
  private async applyPublished(published: PublishResult): Promise<void> {
    const {holder, follower} = this.parts;
    if (published.snapshot)
      holder.offerSnapshot(published.snapshot, 'operator');
    else await follower.refresh();
  }

  private createPublishedResponse(published: PublishResult): HttpResponse {
    const {revision, changeId, changed} = published;
    return createJsonResponse(200, {revision, changeId, changed});
  }
}
