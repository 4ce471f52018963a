import type {
  ConfigObject,
  ConfigurationSnapshot,
  ObjectKind,
  Pool,
  Service,
  Template,
  Workspace,
} from '@hollowstack/types';

/** Returns an object's id, unique among all kinds, such as `pool/encoders`. */
export function getObjectId(kind: ObjectKind, name: string): string {
  return `${kind}/${name}`;
}

/** Creates the snapshot of revision 0, before the first change. */
export function createEmptySnapshot(): ConfigurationSnapshot {
  return {head: {revision: 0, changeId: '', objects: []}, objects: []};
}

/** An immutable snapshot with its objects indexed by kind and name. */
export class Configuration {
  readonly snapshot: ConfigurationSnapshot;
  private readonly objects = new Map<string, ConfigObject>();

  constructor(snapshot: ConfigurationSnapshot) {
    this.snapshot = snapshot;
    for (const object of snapshot.objects) {
      this.objects.set(getObjectId(object.kind, object.value.name), object);
    }
  }

  get revision(): number {
    return this.snapshot.head.revision;
  }

  /** Returns an object by kind and name. */
  getObject(kind: ObjectKind, name: string): ConfigObject | undefined {
    return this.objects.get(getObjectId(kind, name));
  }

  getTemplate(name: string): Template | undefined {
    const object = this.getObject('template', name);
    return object?.kind === 'template' ? object.value : undefined;
  }

  getWorkspace(name: string): Workspace | undefined {
    const object = this.getObject('workspace', name);
    return object?.kind === 'workspace' ? object.value : undefined;
  }

  getPool(name: string): Pool | undefined {
    const object = this.getObject('pool', name);
    return object?.kind === 'pool' ? object.value : undefined;
  }

  getService(name: string): Service | undefined {
    const object = this.getObject('service', name);
    return object?.kind === 'service' ? object.value : undefined;
  }

  listPools(): Pool[] {
    return this.snapshot.objects
      .filter(object => object.kind === 'pool')
      .map(object => object.value);
  }

  listServices(): Service[] {
    return this.snapshot.objects
      .filter(object => object.kind === 'service')
      .map(object => object.value);
  }

  listWorkspaces(): Workspace[] {
    return this.snapshot.objects
      .filter(object => object.kind === 'workspace')
      .map(object => object.value);
  }
}
