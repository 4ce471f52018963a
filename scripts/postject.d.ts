declare module 'postject' {
  /** Injects a resource into an executable file. */
  export function inject(
    filename: string,
    resourceName: string,
    resourceData: Uint8Array,
    options: {sentinelFuse: string},
  ): Promise<void>;
}
