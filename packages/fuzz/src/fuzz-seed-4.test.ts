import {test} from 'node:test';
import {FIXED_RUNS, checkFixedSeed} from './fixed-seeds.ts';

test(`every promise holds in ${FIXED_RUNS} runs of fixed seed 4`, t =>
  checkFixedSeed(t, 4));
