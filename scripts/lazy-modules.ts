import {createRequire} from 'node:module';
import type {Plugin} from 'esbuild';

const NAMESPACE = 'lazy-module';

/** Modules that a bundle loads when one of their exports is first used. */
export interface LazyModules {
  /** Names of Node's built-in modules, without `node:`. */
  readonly builtins: readonly string[];
  /** Specifiers of modules of packages. */
  readonly packages: readonly string[];
  /** Folder from which the modules of packages are resolved. */
  readonly resolveDir: string;
}

/**
 * Creates an esbuild plugin that replaces imports of these modules by getters that load
 * them. The binary contains a snapshot of the heap after all modules have run, and these
 * modules create objects that Node cannot put into a snapshot.
 */
export function createLazyModulesPlugin(modules: LazyModules): Plugin {
  const requireFrom = createRequire(`${modules.resolveDir}/index.ts`);
  const builtins = new Set(modules.builtins);
  return {
    name: NAMESPACE,
    // esbuild prescribes the name.
    // eslint-disable-next-line @typescript-eslint/naming-convention
    setup(build) {
      build.onResolve({filter: /^(node:)?[a-z_]+(\/[a-z]+)?$/}, ({path}) => {
        const name = path.replace(/^node:/, '');
        if (!builtins.has(name)) return undefined;
        return {path: `node:${name}`, namespace: NAMESPACE};
      });
      build.onResolve({filter: /./}, ({path, namespace}) => {
        // The getters need the real module.
        if (namespace === NAMESPACE) return undefined;
        if (!modules.packages.includes(path)) return undefined;
        return {path, namespace: NAMESPACE};
      });
      build.onLoad({filter: /./, namespace: NAMESPACE}, ({path}) => ({
        contents: createGetters(path, Object.keys(requireFrom(path))),
        resolveDir: modules.resolveDir,
      }));
    },
  };
}

function createGetters(path: string, exported: readonly string[]): string {
  const specifier = JSON.stringify(path);
  const load = path.startsWith('node:')
    ? `process.getBuiltinModule(${specifier})`
    : `require(${specifier})`;
  const getters = exported.map(name => {
    const key = JSON.stringify(name);
    return `Object.defineProperty(exports, ${key}, {enumerable: true, get: () => load()[${key}]});`;
  });
  return [
    'let loaded;',
    `const load = () => loaded ??= ${load};`,
    ...getters,
  ].join('\n');
}
