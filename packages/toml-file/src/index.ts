/** Reads TOML by a schema, with errors that name file, line or place. */
export {createSchemaError, parseToml, parseTomlFile} from './toml-file.ts';
