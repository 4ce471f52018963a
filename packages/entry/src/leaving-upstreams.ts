import type {GroupDirectory} from '@hollowstack/pipeline';
import type {InstanceList} from '@hollowstack/store';

/**
 * Excludes each upstream from the candidates while the platform's instance list
 * reports it as leaving. The list may be stale, so it never restores an upstream
 * on its own: a fresh load report of the upstream is required as well.
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
