import {
  OBJECT_KINDS,
  configObjectSchema,
  type ConfigObject,
  type ObjectKind,
} from '@hollowstack/types';
import {createSchemaError, parseTomlFile} from '@hollowstack/toml-file';
import {stringify} from 'smol-toml';
import {z} from 'zod';

/** Contents of an operator's configuration file. */
export interface ParsedConfiguration {
  readonly objects: readonly ConfigObject[];
  /** The revision on which the file is based; undefined for a file written from scratch. */
  readonly baseRevision: number | undefined;
}

const fileSchema = z.strictObject({
  baseRevision: z.number().int().nonnegative().optional(),
  template: z.array(z.unknown()).default([]),
  workspace: z.array(z.unknown()).default([]),
  pool: z.array(z.unknown()).default([]),
  service: z.array(z.unknown()).default([]),
});

/**
 * Parses an operator's configuration file.
 *
 * @param path Path of the file, for error messages.
 * @throws HollowstackError `configuration-invalid` with the file's path and the line or key.
 */
export function parseConfigurationToml(
  text: string,
  path: string,
): ParsedConfiguration {
  const file = parseTomlFile(text, path, fileSchema);
  const objects = OBJECT_KINDS.flatMap(kind =>
    file[kind].map((value, index) =>
      parseObject(kind, value, `${kind}[${index}]`, path),
    ),
  );
  return {objects, baseRevision: file.baseRevision};
}

/** Renders objects as a file that parseConfigurationToml accepts. */
export function renderConfigurationToml(
  objects: readonly ConfigObject[],
  baseRevision: number,
): string {
  const file: Record<string, unknown> = {baseRevision};
  for (const kind of OBJECT_KINDS) {
    const values = objects
      .filter(object => object.kind === kind)
      .map(object => object.value);
    if (values.length > 0) file[kind] = values;
  }
  return stringify(file) + '\n';
}

function parseObject(
  kind: ObjectKind,
  value: unknown,
  place: string,
  path: string,
): ConfigObject {
  const parsed = configObjectSchema.safeParse({kind, value});
  if (parsed.success) return parsed.data;
  const issues = parsed.error.issues.map(issue => ({
    ...issue,
    path: issue.path.filter(key => key !== 'value'),
  }));
  throw createSchemaError(path, place, new z.ZodError(issues));
}
