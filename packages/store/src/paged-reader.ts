import {
  StoreRefusalError,
  type KeyValue,
  type RangePartHandler,
  type RangeResult,
} from './key-value-store.ts';

/** One page of a range, whose keys are in ascending order. */
export interface RangePage extends RangeResult {
  /** Whether the range has keys after the last one of this page. */
  readonly hasMore: boolean;
}

/**
 * Reads one page of the keys that begin with a prefix.
 *
 * @param afterKey Last key of the previous page; undefined for the first page.
 */
export type PageReader = (
  prefix: string,
  afterKey: string | undefined,
) => Promise<RangePage>;

/**
 * Reads ranges page by page. A read that is interrupted continues where the previous one
 * stopped and reads the beginning last, so that interruptions do not hide the later pages.
 */
export class PagedReader {
  private readonly readPage: PageReader;
  /** Last key that the latest unfinished read of each prefix has received. */
  private readonly lastKeys = new Map<string, string>();

  constructor(readPage: PageReader) {
    this.readPage = readPage;
  }

  /**
   * Reads all keys that begin with a prefix. The pages are not one snapshot: the result has
   * the revision of the first page read, and a watch reports every later change again.
   *
   * @param handlePart Called with the keys of each page.
   * @throws StoreRefusalError if the store was restored from a backup between two pages.
   */
  async readPrefix(
    prefix: string,
    handlePart?: RangePartHandler,
  ): Promise<RangeResult> {
    const startKey = this.lastKeys.get(prefix);
    const pages: RangePage[] = [];
    let afterKey = startKey;
    let isPastStart = startKey === undefined;
    for (;;) {
      const page = await this.readPage(prefix, afterKey);
      const lastKey = page.keyValues.at(-1)?.key;
      const isLastPage = !page.hasMore || lastKey === undefined;
      this.recordProgress(prefix, isLastPage ? undefined : lastKey);
      handlePart?.(page.keyValues);
      pages.push(page);
      checkSameStore(pages);
      if (isPastStart && (isLastPage || hasReached(lastKey, startKey))) break;
      if (isLastPage) isPastStart = true;
      afterKey = isLastPage ? undefined : lastKey;
    }
    this.lastKeys.delete(prefix);
    return {...pages[0], keyValues: mergePages(pages)};
  }

  private recordProgress(prefix: string, lastKey: string | undefined): void {
    if (lastKey === undefined) this.lastKeys.delete(prefix);
    else this.lastKeys.set(prefix, lastKey);
  }
}

function hasReached(
  lastKey: string | undefined,
  startKey: string | undefined,
): boolean {
  return startKey !== undefined && lastKey !== undefined && lastKey >= startKey;
}

function checkSameStore(pages: readonly RangePage[]): void {
  if (pages.at(-1)?.storeId === pages[0].storeId) return;
  throw new StoreRefusalError(
    'the store was restored from a backup between two pages of a read',
    'none',
  );
}

// A resumed read may receive keys at the boundary twice; the later page is newer.
function mergePages(pages: readonly RangePage[]): KeyValue[] {
  const byKey = new Map<string, KeyValue>();
  for (const {keyValues} of pages) {
    for (const keyValue of keyValues) byKey.set(keyValue.key, keyValue);
  }
  return [...byKey.values()].sort((left, right) =>
    left.key < right.key ? -1 : 1,
  );
}
