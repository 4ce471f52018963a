/** A token bucket over a clock. */
export {TokenBucket} from './token-bucket.ts';
