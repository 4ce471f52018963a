import type {GroupDirectory} from '@hollowstack/pipeline';
import type {InstanceList} from '@hollowstack/store';

/**
 * Takes upstreams that the platform's list says are leaving out of the
 * candidates. The list lags, so it alone never brings one back: that takes a
 * fresh report of the upstream as well.
 */
export function followLeavingUpstreams(
  list: InstanceList,
  groups: GroupDirectory,
): void {
  list.addListener(() => {
    for (const group of groups.listGroups()) {
      const {name, upstreams} = group.getSettings();
      for (const {id} of upstreams) {
        const isLeaving = list.getInstance(name, id)?.state === 'leaving';
        group.recordListedState(id, isLeaving);
      }
    }
  });
}
