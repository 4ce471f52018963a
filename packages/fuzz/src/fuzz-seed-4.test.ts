import {test} from 'node:test';
import {FIXED_RUNS, checkFixedSeed} from './fixed-seeds.ts';

test(`every invariant holds in ${FIXED_RUNS} runs with fixed seed 4`, t =>
  checkFixedSeed(t, 4));
