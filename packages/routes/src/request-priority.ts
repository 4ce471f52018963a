import type {KeyedWorkspace, Route} from './routed-configuration.ts';

/** Rank of a workspace that the configuration gives none; the usual one. */
const DEFAULT_WORKSPACE_PRIORITY = 1;
/** More ranks than routes have, so that no route's rank outweighs a workspace's. */
const RANKS_PER_WORKSPACE_PRIORITY = 100;

/**
 * Computes the priority of a request among all others: by its workspace first,
 * by its route within that.
 *
 * @returns A rank; 0 is the most urgent.
 */
export function computeRequestPriority(
  route: Route,
  workspace: KeyedWorkspace | undefined,
): number {
  const workspacePriority = workspace?.priority ?? DEFAULT_WORKSPACE_PRIORITY;
  return workspacePriority * RANKS_PER_WORKSPACE_PRIORITY + route.priority;
}
