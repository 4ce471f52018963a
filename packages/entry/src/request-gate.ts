import {HollowstackError} from '@hollowstack/errors';
import type {Configuration, ConfigurationHolder} from '@hollowstack/config-log';
import type {ShareClient} from '@hollowstack/peers';
import type {Workspace} from '@hollowstack/types';
import type {Lifecycle} from './lifecycle.ts';

/** A request that passed admission. */
export interface AdmittedRequest {
  /** Configuration that the request uses until its end. */
  readonly configuration: Configuration;
  readonly workspace: Workspace;
  /** Releases the request's share of the limits; must be called when the request has ended. Further calls do nothing. */
  end(): void;
}

/** Admits requests if the instance serves them and the workspace is within its limits. */
export class RequestGate {
  private readonly lifecycle: Lifecycle;
  private readonly holder: ConfigurationHolder;
  private readonly shares: ShareClient;

  constructor(
    lifecycle: Lifecycle,
    holder: ConfigurationHolder,
    shares: ShareClient,
  ) {
    this.lifecycle = lifecycle;
    this.holder = holder;
    this.shares = shares;
  }

  /** @throws HollowstackError `not-ready`, `draining`, `not-found` or `workspace-limit`. */
  async admitRequest(workspaceName: string): Promise<AdmittedRequest> {
    const configuration = this.holder.getCurrent();
    if (!configuration || this.lifecycle.getState() === 'starting') {
      throw new HollowstackError('not-ready', 'no configuration is in force');
    }
    if (this.lifecycle.getState() === 'closing') {
      throw new HollowstackError('draining', 'this instance is stopping');
    }
    const workspace = configuration.getWorkspace(workspaceName);
    if (!workspace) {
      throw new HollowstackError(
        'not-found',
        `no workspace ${workspaceName} in revision ${configuration.revision}`,
      );
    }
    await this.applyLimits(workspace);
    let isEnded = false;
    return {
      configuration,
      workspace,
      end: () => {
        if (!isEnded) this.shares.endRequest(workspace);
        isEnded = true;
      },
    };
  }

  private async applyLimits(workspace: Workspace): Promise<void> {
    const refusal = await this.shares.beginRequest(workspace);
    if (!refusal) return;
    const waitMs = this.shares.getWaitMs(workspace);
    throw new HollowstackError(
      'workspace-limit',
      refusal === 'requests-per-second'
        ? `workspace ${workspace.name} is over limits.requestsPerSecond`
        : `workspace ${workspace.name} is over limits.concurrentRequests`,
      {retryAfterMs: Math.max(100, Math.ceil(waitMs))},
    );
  }
}
