import type {KeyedWorkspace, Route} from './routed-configuration.ts';

/** Priority of a workspace whose configuration sets none. */
const DEFAULT_WORKSPACE_PRIORITY = 1;
/** Larger than any route priority, so that no route's priority outweighs a workspace's. */
const RANKS_PER_WORKSPACE_PRIORITY = 100;

/**
 * Computes the priority of a request: by its workspace first, then by its route.
 *
 * @returns A number; 0 is the most urgent.
 */
export function computeRequestPriority(
  route: Route,
  workspace: KeyedWorkspace | undefined,
): number {
  const workspacePriority = workspace?.priority ?? DEFAULT_WORKSPACE_PRIORITY;
  return workspacePriority * RANKS_PER_WORKSPACE_PRIORITY + route.priority;
}
