const UUID7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i

/** Creation time in ms since the Unix epoch of a UUIDv7 (RFC 9562); undefined for other strings. */
export function uuid7TimeMs (text: string): number | undefined {
  const match = UUID7.exec(text)
  return match === null ? undefined : parseInt(match[1]! + match[2]!, 16)
}
