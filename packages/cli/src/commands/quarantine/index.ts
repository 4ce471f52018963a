export {QuarantineListCommand} from './list.ts';
export {QuarantineReleaseCommand} from './release.ts';
