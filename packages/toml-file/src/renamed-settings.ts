import {HollowstackError} from '@hollowstack/errors';

/** Settings that had another name in earlier versions: old name to new. */
const RENAMED_SETTINGS: ReadonlyMap<string, string> = new Map([
  ['zone', 'failureDomain'],
]);

/**
 * Checks that no setting has a name of an earlier version, at any depth.
 *
 * @param place Where the content stands in the file; empty for its top level.
 * @throws HollowstackError `configuration-invalid` that gives the new name.
 */
export function checkRenamedSettings(
  content: unknown,
  path: string,
  place = '',
): void {
  if (typeof content !== 'object' || content === null) return;
  for (const [key, value] of Object.entries(content)) {
    const where = place === '' ? key : `${place}.${key}`;
    const renamedTo = RENAMED_SETTINGS.get(key);
    if (renamedTo !== undefined) {
      throw new HollowstackError(
        'configuration-invalid',
        `${path}: ${where}: this setting is called ${renamedTo} now`,
      );
    }
    checkRenamedSettings(value, path, where);
  }
}
