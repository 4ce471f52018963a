export {LimitsListCommand} from './list.ts';
