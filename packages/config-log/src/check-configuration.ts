import type {
  ConfigObject,
  Pool,
  Service,
  Stage,
  Template,
  Workspace,
  WorkspacePipeline,
} from '@hollowstack/types';
import {Configuration, getObjectId} from './configuration.ts';

/** An error or inconsistency in a configuration. */
export interface Finding {
  /** Path of the faulty value, such as `workspace/lima.pipelines.chat.template`. */
  readonly place: string;
  readonly message: string;
  /** How to correct it. */
  readonly advice: string;
}

/** Finds duplicate names, dangling references, deadlines that are too short and other faults. */
export function checkConfiguration(
  objects: readonly ConfigObject[],
): readonly Finding[] {
  const configuration = new Configuration({
    head: {revision: 0, changeId: '', objects: []},
    objects: [...objects],
  });
  return [
    ...findDuplicateNames(objects),
    ...objects.flatMap(object => checkObject(object, configuration)),
  ];
}

function findDuplicateNames(objects: readonly ConfigObject[]): Finding[] {
  const seen = new Set<string>();
  const findings: Finding[] = [];
  for (const object of objects) {
    const id = getObjectId(object.kind, object.value.name);
    if (seen.has(id)) {
      findings.push({
        place: id,
        message: 'the name is given twice',
        advice: 'keep one of the two or rename it',
      });
    }
    seen.add(id);
  }
  return findings;
}

function checkObject(
  object: ConfigObject,
  configuration: Configuration,
): Finding[] {
  switch (object.kind) {
    case 'template':
      return checkTemplate(object.value, configuration);
    case 'workspace':
      return checkWorkspace(object.value, configuration);
    case 'pool':
    case 'service':
      return checkUpstreams(object.kind, object.value);
  }
}

function checkTemplate(
  template: Template,
  configuration: Configuration,
): Finding[] {
  const place = getObjectId('template', template.name);
  const names = template.stages.map(stage => stage.name);
  const findings = template.stages.flatMap((stage, index) =>
    checkStage(stage, `${place}.stages[${index}]`, configuration),
  );
  if (new Set(names).size < names.length) {
    findings.push({
      place,
      message: 'two stages have the same name',
      advice: 'give each stage of the template a name of its own',
    });
  }
  return [...findings, ...checkStageOrder(template, place)];
}

function checkStage(
  stage: Stage,
  place: string,
  configuration: Configuration,
): Finding[] {
  const pool = configuration.getPool(stage.pool);
  if (!pool) {
    return [createDanglingFinding(`${place}.pool`, 'pool', stage.pool)];
  }
  if (pool.stage === stage.kind) return [];
  return [
    {
      place: `${place}.pool`,
      message: `pool ${pool.name} serves ${pool.stage}, not ${stage.kind}`,
      advice: `name a pool whose stage is "${stage.kind}"`,
    },
  ];
}

function checkStageOrder(template: Template, place: string): Finding[] {
  const kinds = template.stages.map(stage => stage.kind);
  const findings: Finding[] = [];
  const retrieve = kinds.indexOf('retrieve');
  const rerank = kinds.indexOf('rerank');
  if (retrieve >= 0 && !kinds.slice(0, retrieve).includes('encode')) {
    findings.push({
      place,
      message: 'retrieve needs the vector of an encode stage before it',
      advice: 'put an encode stage before the retrieve stage',
    });
  }
  if (rerank >= 0 && !kinds.slice(0, rerank).includes('retrieve')) {
    findings.push({
      place,
      message: 'rerank needs the documents of a retrieve stage before it',
      advice: 'put a retrieve stage before the rerank stage',
    });
  }
  const generate = kinds.indexOf('generate');
  if (generate >= 0 && generate < kinds.length - 1) {
    findings.push({
      place,
      message: 'generate must be the last stage, because its answer streams',
      advice: 'move the generate stage to the end',
    });
  }
  return findings;
}

function checkWorkspace(
  workspace: Workspace,
  configuration: Configuration,
): Finding[] {
  const place = getObjectId('workspace', workspace.name);
  const findings = Object.entries(workspace.pipelines).flatMap(
    ([name, pipeline]) =>
      checkPipeline(pipeline, `${place}.pipelines.${name}`, configuration),
  );
  for (const service of workspace.services) {
    if (configuration.getService(service)) continue;
    findings.push(
      createDanglingFinding(`${place}.services`, 'service', service),
    );
  }
  return findings;
}

function checkPipeline(
  pipeline: WorkspacePipeline,
  place: string,
  configuration: Configuration,
): Finding[] {
  const template = configuration.getTemplate(pipeline.template);
  if (!template) {
    return [
      createDanglingFinding(`${place}.template`, 'template', pipeline.template),
    ];
  }
  return [
    ...checkDeadline(template, pipeline, place, configuration),
    ...checkModel(template, pipeline, place, configuration),
  ];
}

function checkDeadline(
  template: Template,
  pipeline: WorkspacePipeline,
  place: string,
  configuration: Configuration,
): Finding[] {
  const expectedMs = template.stages
    .map(stage => configuration.getPool(stage.pool)?.expectedMs ?? 0)
    .reduce((sum, stageMs) => sum + stageMs, 0);
  if (expectedMs <= pipeline.deadlineMs) return [];
  return [
    {
      place: `${place}.deadlineMs`,
      message: `the stages are expected to take ${expectedMs} ms, the deadline is ${pipeline.deadlineMs} ms`,
      advice: `allow at least ${expectedMs} ms, or correct expectedMs of the pools`,
    },
  ];
}

function checkModel(
  template: Template,
  pipeline: WorkspacePipeline,
  place: string,
  configuration: Configuration,
): Finding[] {
  const last = template.stages.at(-1)!;
  if (last.kind !== 'generate') return [];
  const pool = configuration.getPool(last.pool);
  if (!pool || pool.models.includes(pipeline.model)) return [];
  return [
    {
      place: `${place}.model`,
      message: `pool ${pool.name} does not hold model ${pipeline.model}`,
      advice: `add the model to pool ${pool.name}, or choose one of: ${pool.models.join(', ') || 'none'}`,
    },
  ];
}

function checkUpstreams(
  kind: 'pool' | 'service',
  poolOrService: Pool | Service,
): Finding[] {
  const place = getObjectId(kind, poolOrService.name);
  const ids = poolOrService.upstreams.map(upstream => upstream.id);
  const addresses = poolOrService.upstreams.map(upstream => upstream.address);
  const findings: Finding[] = [];
  if (new Set(ids).size < ids.length) {
    findings.push({
      place: `${place}.upstreams`,
      message: 'two upstreams have the same id',
      advice: 'give each upstream of the pool an id of its own',
    });
  }
  if (new Set(addresses).size < addresses.length) {
    findings.push({
      place: `${place}.upstreams`,
      message: 'two upstreams have the same address',
      advice: 'keep one of the two',
    });
  }
  return [...findings, ...checkPlacement(poolOrService, place)];
}

function checkPlacement(
  poolOrService: Pool | Service,
  place: string,
): Finding[] {
  const placement =
    'placement' in poolOrService ? poolOrService.placement : undefined;
  if (!placement) return [];
  const copies = placement.targets.reduce(
    (sum, target) => sum + target.copies,
    0,
  );
  const capacity = poolOrService.upstreams.length * placement.modelsPerEngine;
  if (copies <= capacity) return [];
  return [
    {
      place: `${place}.placement`,
      message: `the targets ask for ${copies} copies, the engines have room for ${capacity}`,
      advice: 'ask for fewer copies, or raise modelsPerEngine',
    },
  ];
}

function createDanglingFinding(
  place: string,
  kind: string,
  name: string,
): Finding {
  return {
    place,
    message: `there is no ${kind} named ${name}`,
    advice: `add the ${kind} or correct the name`,
  };
}
