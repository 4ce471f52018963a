/** Parses TOML files by a schema, with errors that name the file and the line or key. */
export {createSchemaError, parseToml, parseTomlFile} from './toml-file.ts';
