import {ManualClock} from '@hollowstack/clock';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {NotificationQueue, type PeerReply, type PeerRequest} from './index.ts';

function createQueue(answer: () => Promise<PeerReply>) {
  const clock = new ManualClock();
  const sent: Array<{address: string; request: PeerRequest}> = [];
  const queue = new NotificationQueue({
    clock,
    link: {
      sendRequest: (address, request) => {
        sent.push({address, request});
        return answer();
      },
    },
  });
  const listBatchSizes = () =>
    sent.map(({request}) =>
      request.type === 'notes' ? request.notes.length : 0,
    );
  return {clock, queue, sent, listBatchSizes};
}

function createNotification(requestId: string) {
  return {type: 'stage-end', requestId} as const;
}

test('notifications sent shortly after each other reach each peer in one message', async () => {
  const {clock, queue, sent, listBatchSizes} = createQueue(async () => ({
    type: 'done',
  }));
  const deliveries = ['a', 'a', 'b', 'a'].map((address, index) =>
    queue.sendNotification(address, createNotification(`${index}`)),
  );
  await clock.advance(100);
  await Promise.all(deliveries);
  assert.deepEqual(
    sent.map(({address}) => address),
    ['a', 'b'],
  );
  assert.deepEqual(listBatchSizes(), [3, 1]);
});

test('a full batch is sent without delay', async () => {
  const {queue, listBatchSizes} = createQueue(async () => ({type: 'done'}));
  for (let index = 0; index < 65; index++) {
    void queue.sendNotification('a', createNotification(`${index}`));
  }
  assert.deepEqual(listBatchSizes(), [64]);
});

test('a notification rejects if the peer refuses it or cannot be reached', async () => {
  for (const answer of [
    async (): Promise<PeerReply> => ({type: 'failed', message: 'not here'}),
    async (): Promise<PeerReply> => {
      throw new Error('cut');
    },
  ]) {
    const {clock, queue} = createQueue(answer);
    const deliveries = [1, 2].map(index =>
      queue.sendNotification('a', createNotification(`${index}`)),
    );
    const settled = Promise.allSettled(deliveries);
    await clock.advance(100);
    assert.deepEqual(
      (await settled).map(({status}) => status),
      ['rejected', 'rejected'],
    );
  }
});
