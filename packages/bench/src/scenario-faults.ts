import type {LocalSystem, MemoryNetwork} from '@hollowstack/local-system';
import {HollowstackError} from '@hollowstack/errors';
import {match} from 'ts-pattern';
import type {ScenarioFault} from './scenario.ts';

/** Starts and ends a scenario's faults in a system that runs in this process. */
export class ScenarioFaults {
  private readonly system: LocalSystem;
  private readonly network: MemoryNetwork;

  constructor(system: LocalSystem, network: MemoryNetwork) {
    this.system = system;
    this.network = network;
  }

  /** @throws HollowstackError `configuration-invalid` if the target does not exist. */
  startFault(fault: ScenarioFault): void {
    this.setFault(fault, true);
  }

  endFault(fault: ScenarioFault): void {
    this.setFault(fault, false);
  }

  private setFault(fault: ScenarioFault, isOn: boolean): void {
    match(fault.kind)
      .with('slow', () => {
        const slowFactor = isOn ? fault.slowFactor : 1;
        this.findUpstreams(fault).forEach(({standIn}) =>
          standIn.faults.setSetting({slowFactor}),
        );
      })
      .with('wedged', 'failing', 'cutting', 'leaving', mode =>
        this.findUpstreams(fault).forEach(({standIn}) =>
          standIn.faults.setSetting({mode: isOn ? mode : 'ok'}),
        ),
      )
      .with('killed', () => {
        if (isOn) this.killTargets(fault);
      })
      .with('down', () => this.system.platform.setFaults({isDown: isOn}))
      .with('isolated', () => this.setIsolated(fault, isOn))
      .with('cold', () =>
        this.system.engines.forEach(({standIn}) => standIn.removeCache()),
      )
      .exhaustive();
  }

  private findUpstreams(fault: ScenarioFault) {
    const {encoders, retrievers, rerankers, engines} = this.system;
    const found = [...encoders, ...retrievers, ...rerankers, ...engines].filter(
      ({upstream}) =>
        upstream.id === fault.target || upstream.failureDomain === fault.target,
    );
    if (found.length > 0) return found;
    throw new HollowstackError(
      'configuration-invalid',
      `faults: there is no upstream or failure domain ${fault.target}`,
    );
  }

  // The entry instances of a failure domain are killed as well: their requests in
  // progress break, and later ones go to the remaining instances.
  private killTargets(fault: ScenarioFault): void {
    const instances = this.system.instances.filter(
      ({id, settings}) =>
        id === fault.target || settings.instance.failureDomain === fault.target,
    );
    for (const instance of instances) {
      this.network.getProcess(instance.id).kill();
      this.system.removeInstance(instance);
    }
    if (instances.some(({id}) => id === fault.target)) return;
    for (const {upstream} of this.findUpstreams(fault)) {
      this.network.getProcess(upstream.id).kill();
      void this.network.stopServing(upstream.address);
    }
  }

  private setIsolated(fault: ScenarioFault, isOn: boolean): void {
    for (const {id} of this.system.instances) {
      if (id !== fault.target)
        this.network.setPartitioned(id, fault.target, isOn);
    }
  }
}
