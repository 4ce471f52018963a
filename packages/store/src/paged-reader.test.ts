import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {KeyValue} from './key-value-store.ts';
import {StoreRefusalError} from './key-value-store.ts';
import {PagedReader} from './paged-reader.ts';

const PAGE_SIZE = 2;

/** A store with pages of two keys, in which every read of a page raises the revision. */
class PagedStore {
  storeId = 's@1';
  revision = 100;
  keys = ['a/1', 'a/2', 'a/3', 'a/4', 'a/5'];
  /** First keys of the pages that were read. */
  readonly pages: string[] = [];
  checkPage: () => void = () => {};

  readonly reader = new PagedReader(async (prefix, afterKey = '') => {
    this.checkPage();
    this.revision += 1;
    const keys = this.keys.filter(
      key => key.startsWith(prefix) && key > afterKey,
    );
    this.pages.push(keys[0]);
    return {
      storeId: this.storeId,
      storeRevision: this.revision,
      keyValues: keys.slice(0, PAGE_SIZE).map(key => this.createKeyValue(key)),
      hasMore: keys.length > PAGE_SIZE,
    };
  });

  /** Makes the page after the given number of pages fail once. */
  failAfter(pageCount: number): void {
    const failAt = this.pages.length + pageCount;
    let hasFailed = false;
    this.checkPage = () => {
      if (hasFailed || this.pages.length < failAt) return;
      hasFailed = true;
      throw new Error('connection reset');
    };
  }

  private createKeyValue(key: string): KeyValue {
    return {key, value: '', modRevision: 1, createRevision: 1};
  }
}

function listKeys(keyValues: readonly KeyValue[]): string[] {
  return keyValues.map(({key}) => key);
}

test('a read joins all pages at the revision of the first one', async () => {
  const store = new PagedStore();
  const parts: string[][] = [];
  const result = await store.reader.readPrefix('a/', part =>
    parts.push(listKeys(part)),
  );
  assert.equal(result.storeRevision, 101);
  assert.deepEqual(listKeys(result.keyValues), store.keys);
  assert.deepEqual(parts, [['a/1', 'a/2'], ['a/3', 'a/4'], ['a/5']]);
});

test('a read after an interrupted one begins with the page that was not read', async () => {
  const store = new PagedStore();
  store.failAfter(1);
  const parts: string[][] = [];
  const handlePart = (part: readonly KeyValue[]) => parts.push(listKeys(part));
  await assert.rejects(store.reader.readPrefix('a/', handlePart));
  assert.deepEqual(parts, [['a/1', 'a/2']]);
  const result = await store.reader.readPrefix('a/', handlePart);
  assert.equal(result.storeRevision, 102);
  assert.deepEqual(listKeys(result.keyValues), store.keys);
  assert.deepEqual(store.pages, ['a/1', 'a/3', 'a/5', 'a/1']);
  await store.reader.readPrefix('a/');
  assert.deepEqual(store.pages.slice(4), ['a/1', 'a/3', 'a/5']);
});

test('reads that are always interrupted after one page still receive every page', async () => {
  const store = new PagedStore();
  const seen = new Set<string>();
  for (let count = 0; count < 3; count++) {
    store.failAfter(1);
    const read = store.reader.readPrefix('a/', part => {
      for (const key of listKeys(part)) seen.add(key);
    });
    await read.catch(() => {});
  }
  assert.deepEqual([...seen].sort(), store.keys);
});

test('keys that are added or removed while a read is interrupted are listed as they are', async () => {
  const store = new PagedStore();
  store.failAfter(2);
  await assert.rejects(store.reader.readPrefix('a/'));
  store.keys = ['a/0', 'a/1', 'a/6'];
  const {keyValues} = await store.reader.readPrefix('a/');
  assert.deepEqual(listKeys(keyValues), store.keys);
});

test('pages from before and after a restoration are not joined, but each is handed over', async () => {
  const store = new PagedStore();
  const parts: string[][] = [];
  const handlePart = (part: readonly KeyValue[]) => {
    parts.push(listKeys(part));
    store.storeId = 's@2';
  };
  const read = store.reader.readPrefix('a/', handlePart);
  await assert.rejects(read, StoreRefusalError);
  assert.deepEqual(parts, [
    ['a/1', 'a/2'],
    ['a/3', 'a/4'],
  ]);
  const {storeId, keyValues} = await store.reader.readPrefix('a/', handlePart);
  assert.equal(storeId, 's@2');
  assert.deepEqual(listKeys(keyValues), store.keys);
});
