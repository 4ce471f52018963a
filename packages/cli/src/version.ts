/** The version that the binary and `--version` tell. */
export const VERSION = '0.1.0';
