import {parseGatewaySettings} from '@hollowstack/gateway';

const SAMPLE_SETTINGS = `
instance = {id = "warm-up", failureDomain = "a"}
listen = {address = "127.0.0.1:1", probeAddress = "127.0.0.1:2", peerAddress = "127.0.0.1:3"}
store = {address = "127.0.0.1:4"}
peers = {seeds = ["127.0.0.1:3"], keys = [{id = "warm-up", secret = "secret-of-the-warm-up"}]}
`;

/**
 * Runs code that every start needs, so that the binary's snapshot contains it compiled; parsing
 * settings for the first time is expensive.
 */
export function runWarmUp(): void {
  parseGatewaySettings(SAMPLE_SETTINGS, 'warm-up.toml');
}
