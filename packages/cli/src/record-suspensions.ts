import type {SystemClock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';

/**
 * Logs each suspension of the machine with its duration.
 *
 * @param metrics If given, also counts the suspensions.
 */
export function recordSuspensions(
  clock: SystemClock,
  logger: EventLogger,
  metrics?: MetricsRegistry,
): void {
  clock.addSuspensionListener(suspendedMs => {
    metrics?.addToCounter('hollowstack_suspensions_total');
    logger.logEvent('entry.suspended', {suspendedMs: Math.round(suspendedMs)});
  });
}
