import {HollowstackError} from '@hollowstack/errors';

/** Names of settings in earlier versions, mapped to their current names. */
const RENAMED_SETTINGS: ReadonlyMap<string, string> = new Map([
  ['zone', 'failureDomain'],
]);

/**
 * Checks at any depth that no setting has a name of an earlier version.
 *
 * @param place Key path of the content in the file; empty for the top level.
 * @throws HollowstackError `configuration-invalid` with the current name.
 */
export function checkRenamedSettings(
  content: unknown,
  path: string,
  place = '',
): void {
  if (typeof content !== 'object' || content === null) return;
  for (const [key, value] of Object.entries(content)) {
    const keyPath = place === '' ? key : `${place}.${key}`;
    const currentName = RENAMED_SETTINGS.get(key);
    if (currentName !== undefined) {
      throw new HollowstackError(
        'configuration-invalid',
        `${path}: ${keyPath}: this setting is called ${currentName} now`,
      );
    }
    checkRenamedSettings(value, path, keyPath);
  }
}
