import {MemoryBudget} from '@hollowstack/transport';
import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import {test} from 'node:test';
import {readRequestBody} from './request-body.ts';

const LIMITS = {
  headerBytes: 16 * 1024,
  bodyBytes: 1024 * 1024,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

function createIncoming(chunks: readonly Buffer[]): IncomingMessage {
  const incoming = Object.assign(Readable.from(chunks, {objectMode: false}), {
    headers: {'transfer-encoding': 'chunked'},
    socket: {bytesRead: 0},
  });
  return incoming as unknown as IncomingMessage;
}

function readBody(chunks: readonly Buffer[], memory: MemoryBudget) {
  const outgoing = new EventEmitter() as ServerResponse;
  const body = readRequestBody(createIncoming(chunks), {
    limits: LIMITS,
    memory,
    outgoing,
  });
  return {outgoing, body};
}

test('a body holds memory until its request is answered', async () => {
  const memory = new MemoryBudget(500_000);
  const {outgoing, body} = readBody([Buffer.alloc(400_000)], memory);
  assert.equal((await body)?.length, 400_000);
  assert.equal(memory.getHeldBytes(), 400_000);
  outgoing.emit('close');
  assert.equal(memory.getHeldBytes(), 0);
});

test('a body without memory for it is rejected as not run, and releases its memory', async () => {
  const memory = new MemoryBudget(500_000);
  const chunk = Buffer.alloc(100_000);
  const {body} = readBody(
    Array.from({length: 6}, () => chunk),
    memory,
  );
  await assert.rejects(body, {kind: 'overloaded', ran: 'no'});
  assert.equal(memory.getHeldBytes(), 0);
});
