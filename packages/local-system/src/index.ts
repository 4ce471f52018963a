/** A complete system in one process: stand-ins and daemons, connected over loopback or an in-memory network. */
export {SystemNetwork, type ProcessEnvironment} from './system-network.ts';
export {LoopbackNetwork} from './loopback-network.ts';
export {MemoryNetwork, type MemoryNetworkOptions} from './memory-network.ts';
export {
  LocalSystem,
  type LocalInstance,
  type LocalSystemOptions,
  type LocalUpstream,
} from './local-system.ts';
export {
  OPERATOR_KEY,
  createSampleConfiguration,
  type SampleUpstreams,
} from './sample-configuration.ts';
export {SystemCaller, type CallerAnswer} from './system-caller.ts';
export {findFreeAddresses} from './free-addresses.ts';
export {createSeededRandom} from './seeded-random.ts';
