/**
 * Returns source text on one line, without comment lines and without the line
 * breaks and trailing commas that the formatter sets.
 */
export function formatCollapsed(text: string): string {
  return text
    .split('\n')
    .map(line => line.replace(/^\s*\/\/.*$/, ''))
    .join('\n')
    .replace(/\(\s+/g, '(')
    .replace(/,?\s+\)/g, ')')
    .replace(/\s+/g, ' ');
}
