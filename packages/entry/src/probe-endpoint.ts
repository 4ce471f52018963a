import type {MetricsRegistry} from '@hollowstack/metrics';
import {
  createJsonResponse,
  createTextBody,
  type HttpResponse,
} from '@hollowstack/transport';
import {Endpoint, type EndpointRequest} from './endpoint.ts';
import type {Lifecycle} from './lifecycle.ts';

const PATHS = ['healthz', 'readyz', 'metrics'];

/** Serves `/healthz`, `/readyz` and `/metrics`. */
export class ProbeEndpoint extends Endpoint {
  private readonly lifecycle: Lifecycle;
  private readonly metrics: MetricsRegistry;

  constructor(lifecycle: Lifecycle, metrics: MetricsRegistry) {
    super();
    this.lifecycle = lifecycle;
    this.metrics = metrics;
  }

  isFor({http, segments}: EndpointRequest): boolean {
    return (
      http.method === 'GET' &&
      segments.length === 1 &&
      PATHS.includes(segments[0])
    );
  }

  async handle({segments}: EndpointRequest): Promise<HttpResponse> {
    const state = this.lifecycle.getState();
    if (segments[0] === 'healthz') return createJsonResponse(200, {state});
    if (segments[0] === 'readyz') {
      return createJsonResponse(state === 'ready' ? 200 : 503, {state});
    }
    return {
      status: 200,
      headers: {'content-type': 'text/plain; version=0.0.4'},
      body: createTextBody(this.metrics.renderPrometheusText()),
    };
  }
}
