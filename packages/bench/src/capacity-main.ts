import {parseArgs} from 'node:util';
import {measureFleet} from './fleet-capacity.ts';

// npm run capacity -- --instances 9,30,100,330 --workspaces 580
const {values} = parseArgs({
  options: {
    instances: {type: 'string', default: '9,30,100,330'},
    workspaces: {type: 'string', default: '580'},
  },
});
console.log(
  '| instances | workspaces | store calls/s each | store calls/s all | peer requests/s each | peer bytes/s each | processor ms/s each | heap MB each | in force ms | unwatched ms | share error % |',
);
console.log(
  '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
);
for (const instances of values.instances.split(',').map(Number)) {
  for (const workspaces of values.workspaces.split(',').map(Number)) {
    const figures = await measureFleet({instances, workspaces});
    const cells = [
      figures.instances,
      figures.workspaces,
      figures.storeCallsPerInstance.toFixed(2),
      figures.storeCallsOfAll.toFixed(0),
      figures.peerRequestsPerInstance.toFixed(1),
      figures.peerBytesPerInstance.toFixed(0),
      figures.processorMsPerInstance.toFixed(2),
      figures.heapMegabytesPerInstance.toFixed(2),
      figures.inForceMs.toFixed(0),
      figures.inForceUnwatchedMs.toFixed(0),
      (figures.shareError * 100).toFixed(1),
    ];
    console.log(`| ${cells.join(' | ')} |`);
  }
}
