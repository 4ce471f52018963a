/** Yields the lines of a body without line ends; an unterminated last line is dropped. */
export async function* readLines(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of body) {
    rest += decoder.decode(chunk, {stream: true});
    let end = rest.indexOf('\n');
    if (end < 0) continue;
    let start = 0;
    while (end >= 0) {
      const hasReturn = end > start && rest.charCodeAt(end - 1) === 13;
      yield rest.slice(start, hasReturn ? end - 1 : end);
      start = end + 1;
      end = rest.indexOf('\n', start);
    }
    rest = rest.slice(start);
  }
}
