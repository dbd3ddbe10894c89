/** Hashes of a prompt's prefixes, used to find the runners that have them cached. */
import xxhash from 'xxhash-wasm'

/** Characters in a block; a prefix is a whole number of blocks. */
export const PREFIX_BLOCK_CHARS = 256
/** Longest prefix that is hashed, in blocks. */
export const MAX_PREFIX_BLOCKS = 32

/** Hashes the leading blocks of a prompt, shortest prefix first. Each hash also covers all blocks before it. */
export type PrefixHasher = (prompt: string) => string[]

/** Loads the hash function. */
export async function createPrefixHasher (): Promise<PrefixHasher> {
  const { h64 } = await xxhash()
  return (prompt) => {
    const blocks = Math.min(MAX_PREFIX_BLOCKS, Math.floor(prompt.length / PREFIX_BLOCK_CHARS))
    const hashes: string[] = []
    let seed = 0n
    for (let block = 0; block < blocks; block++) {
      seed = h64(prompt.slice(block * PREFIX_BLOCK_CHARS, (block + 1) * PREFIX_BLOCK_CHARS), seed)
      hashes.push(seed.toString(16).padStart(16, '0'))
    }
    return hashes
  }
}
