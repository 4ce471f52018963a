/** Upper bound on the retries of all instances together. */
export interface RetryBound {
  /** Retries allowed for each request within the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries allowed in addition to the ratio, over all instances. */
  readonly burst: number;
}

interface Bucket {
  readonly index: number;
  requests: number;
  retries: number;
}

/** Milliseconds that the window slides by; a twentieth of the usual window. */
const BUCKET_MS = 500;
/** Fraction of the ratio that is used, since the windows of instances are not aligned. */
const RATIO_SHARE = 0.8;
/** Fraction of the burst that is used: an instance forgets its retries when it restarts. */
const BURST_SHARE = 0.4;

/** One instance's share of the bound on retries, over a sliding window for each service. */
export class WindowRetryBudget {
  private readonly bound: RetryBound;
  private readonly getNow: () => number;
  private readonly getInstanceCount: () => number;
  private readonly buckets = new Map<string, Bucket[]>();

  constructor(
    bound: RetryBound,
    getNow: () => number,
    getInstanceCount: () => number,
  ) {
    this.bound = bound;
    this.getNow = getNow;
    this.getInstanceCount = getInstanceCount;
  }

  /** Counts a request that is sent for the first time. */
  recordRequest(service: string): void {
    this.getBucket(service).requests += 1;
  }

  /** Takes one retry from the budget; returns false if none is left. */
  acquireRetry(service: string): boolean {
    if (!this.hasRetry(service)) return false;
    this.getBucket(service).retries += 1;
    return true;
  }

  /** Returns whether the budget of a service allows another retry. */
  hasRetry(service: string): boolean {
    this.getBucket(service);
    const buckets = this.buckets.get(service)!;
    const requests = buckets.reduce((sum, each) => sum + each.requests, 0);
    const retries = buckets.reduce((sum, each) => sum + each.retries, 0);
    const {ratio, burst} = this.bound;
    const share = (burst * BURST_SHARE) / Math.max(1, this.getInstanceCount());
    return retries + 1 <= ratio * RATIO_SHARE * requests + share;
  }

  private getBucket(service: string): Bucket {
    const index = Math.floor(this.getNow() / BUCKET_MS);
    const oldest = index - Math.ceil(this.bound.windowMs / BUCKET_MS);
    const recent = (this.buckets.get(service) ?? []).filter(
      bucket => bucket.index >= oldest,
    );
    this.buckets.set(service, recent);
    const last = recent.at(-1);
    if (last?.index === index) return last;
    const bucket: Bucket = {index, requests: 0, retries: 0};
    recent.push(bucket);
    return bucket;
  }
}
