/** Compact hash table of claimed keys. A slot takes 33 bytes in typed arrays, which keeps a generation of keys small. */

/** State of a key. */
export const KeyState = { Open: 1, Settled: 2, Voided: 3 } as const
export type KeyState = (typeof KeyState)[keyof typeof KeyState]

/** Bytes of one packed entry: key 16, fingerprint 8, attempt 8, state 1. */
export const PACKED_ENTRY_BYTES = 33

/** A packed entry without its state. */
const BODY_BYTES = 32
const KEY_BYTES = 16
const ATTEMPT_OFFSET = 24
const INITIAL_CAPACITY = 64
const MAX_LOAD_FACTOR = 0.75
const GROWTH_FACTOR = 1.3
const EMPTY = 0

/** Uses open addressing with linear probing. Keys are uniform hashes and are never removed one by one. */
export class KeyTable {
  #bodies = Buffer.alloc(INITIAL_CAPACITY * BODY_BYTES)
  #states = new Uint8Array(INITIAL_CAPACITY)
  #size = 0

  static create (): KeyTable {
    return new KeyTable()
  }

  /** Number of keys, voided ones included. */
  get size (): number {
    return this.#size
  }

  /** Size of the table's arrays in bytes. */
  get bytes (): number {
    return this.#bodies.length + this.#states.length
  }

  /** Returns the slot of a key; undefined if the key is not in the table. */
  find (key: Buffer): number | undefined {
    const slot = this.#probe(key)
    return this.#states[slot] === EMPTY ? undefined : slot
  }

  stateAt (slot: number): KeyState {
    return this.#states[slot] as KeyState
  }

  setStateAt (slot: number, state: KeyState): void {
    this.#states[slot] = state
  }

  hasAttemptAt (slot: number, attempt: Buffer): boolean {
    return this.#compare(slot, ATTEMPT_OFFSET, attempt)
  }

  hasFingerprintAt (slot: number, fingerprint: Buffer): boolean {
    return this.#compare(slot, KEY_BYTES, fingerprint)
  }

  /** Inserts an entry, or replaces the one of the same key. */
  put (key: Buffer, fingerprint: Buffer, attempt: Buffer, state: KeyState): void {
    if (this.#size + 1 > this.#states.length * MAX_LOAD_FACTOR) this.#grow()
    const slot = this.#probe(key)
    if (this.#states[slot] === EMPTY) this.#size += 1
    const offset = slot * BODY_BYTES
    key.copy(this.#bodies, offset, 0, KEY_BYTES)
    fingerprint.copy(this.#bodies, offset + KEY_BYTES, 0, 8)
    attempt.copy(this.#bodies, offset + ATTEMPT_OFFSET, 0, 8)
    this.#states[slot] = state
  }

  /** Packs all entries except voided ones, whose keys are free. */
  pack (): Buffer {
    const packed: Buffer[] = []
    for (let slot = 0; slot < this.#states.length; slot++) {
      const state = this.#states[slot] as number
      if (state === EMPTY || state === KeyState.Voided) continue
      packed.push(this.#bodies.subarray(slot * BODY_BYTES, (slot + 1) * BODY_BYTES), Buffer.of(state))
    }
    return Buffer.concat(packed)
  }

  /** Adds packed entries. */
  unpack (packed: Buffer): void {
    for (let offset = 0; offset + PACKED_ENTRY_BYTES <= packed.length; offset += PACKED_ENTRY_BYTES) {
      const key = packed.subarray(offset, offset + KEY_BYTES)
      const fingerprint = packed.subarray(offset + KEY_BYTES, offset + ATTEMPT_OFFSET)
      const attempt = packed.subarray(offset + ATTEMPT_OFFSET, offset + BODY_BYTES)
      this.put(key, fingerprint, attempt, packed[offset + BODY_BYTES] as KeyState)
    }
  }

  #probe (key: Buffer): number {
    const capacity = this.#states.length
    let slot = key.readUInt32LE(4) % capacity
    while (this.#states[slot] !== EMPTY && !this.#compare(slot, 0, key)) slot = (slot + 1) % capacity
    return slot
  }

  #compare (slot: number, fieldOffset: number, bytes: Buffer): boolean {
    const offset = slot * BODY_BYTES + fieldOffset
    return this.#bodies.compare(bytes, 0, bytes.length, offset, offset + bytes.length) === 0
  }

  #grow (): void {
    const [bodies, states] = [this.#bodies, this.#states]
    const capacity = Math.ceil(states.length * GROWTH_FACTOR)
    this.#bodies = Buffer.alloc(capacity * BODY_BYTES)
    this.#states = new Uint8Array(capacity)
    for (let slot = 0; slot < states.length; slot++) {
      if (states[slot] === EMPTY) continue
      const body = bodies.subarray(slot * BODY_BYTES, (slot + 1) * BODY_BYTES)
      const target = this.#probe(body.subarray(0, KEY_BYTES))
      body.copy(this.#bodies, target * BODY_BYTES)
      this.#states[target] = states[slot] as number
    }
  }
}
