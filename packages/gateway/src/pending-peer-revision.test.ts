import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PendingPeerRevision} from './pending-peer-revision.ts';

const PATIENCE_MS = 600;

test('a copy is asked for only once the store had its time to tell', () => {
  const news = new PendingPeerRevision(PATIENCE_MS);
  news.recordRevision(7, 5, 1000);
  assert.equal(news.isDue(5, 1500), false);
  assert.equal(news.isDue(5, 1600), true);
});

test('what the store has told meanwhile is no news', () => {
  const news = new PendingPeerRevision(PATIENCE_MS);
  news.recordRevision(7, 5, 1000);
  assert.equal(news.isDue(7, 1700), false);
  news.recordRevision(9, 7, 1700);
  assert.equal(news.isDue(7, 1800), false);
  assert.equal(news.isDue(7, 2300), true);
});

test('further news do not put the asking off', () => {
  const news = new PendingPeerRevision(PATIENCE_MS);
  news.recordRevision(7, 5, 1000);
  news.recordRevision(8, 5, 1500);
  assert.equal(news.isDue(5, 1600), true);
  news.removeRevision();
  assert.equal(news.isDue(5, 1700), false);
});
