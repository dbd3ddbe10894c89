/** Compact hash table of claimed keys: 33 bytes a slot in typed arrays, so that a generation of keys stays small. */

/** State of a key. */
export const KeyState = { Open: 1, Settled: 2, Voided: 3 } as const
export type KeyState = (typeof KeyState)[keyof typeof KeyState]

/** Bytes of one packed entry: key 16, fingerprint 8, attempt 8, state 1. */
export const PACKED_ENTRY_BYTES = 33

const BODY_BYTES = 32
const KEY_BYTES = 16
const ATTEMPT_AT = 24
const FIRST_CAPACITY = 64
const MAX_FILL = 0.75
const GROWTH = 1.3
const EMPTY = 0

/** Open addressing with linear probing; keys are uniform hashes and are never removed singly. */
export class KeyTable {
  #bodies = Buffer.alloc(FIRST_CAPACITY * BODY_BYTES)
  #states = new Uint8Array(FIRST_CAPACITY)
  #size = 0

  static create (): KeyTable {
    return new KeyTable()
  }

  /** Number of keys, voided ones included. */
  get size (): number {
    return this.#size
  }

  /** Bytes of the table's arrays. */
  get bytes (): number {
    return this.#bodies.length + this.#states.length
  }

  /** Slot of a key; undefined if it is not there. */
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
    return this.#compare(slot, ATTEMPT_AT, attempt)
  }

  hasFingerprintAt (slot: number, fingerprint: Buffer): boolean {
    return this.#compare(slot, KEY_BYTES, fingerprint)
  }

  /** Writes an entry over an earlier one of the same key. */
  put (key: Buffer, fingerprint: Buffer, attempt: Buffer, state: KeyState): void {
    if (this.#size + 1 > this.#states.length * MAX_FILL) this.#grow()
    const slot = this.#probe(key)
    if (this.#states[slot] === EMPTY) this.#size += 1
    const at = slot * BODY_BYTES
    key.copy(this.#bodies, at, 0, KEY_BYTES)
    fingerprint.copy(this.#bodies, at + KEY_BYTES, 0, 8)
    attempt.copy(this.#bodies, at + ATTEMPT_AT, 0, 8)
    this.#states[slot] = state
  }

  /** Entries that hold a key, packed; voided ones are left out, since they hold nothing. */
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
    for (let at = 0; at + PACKED_ENTRY_BYTES <= packed.length; at += PACKED_ENTRY_BYTES) {
      const key = packed.subarray(at, at + KEY_BYTES)
      const fingerprint = packed.subarray(at + KEY_BYTES, at + ATTEMPT_AT)
      const attempt = packed.subarray(at + ATTEMPT_AT, at + BODY_BYTES)
      this.put(key, fingerprint, attempt, packed[at + BODY_BYTES] as KeyState)
    }
  }

  #probe (key: Buffer): number {
    const capacity = this.#states.length
    let slot = key.readUInt32LE(4) % capacity
    while (this.#states[slot] !== EMPTY && !this.#compare(slot, 0, key)) slot = (slot + 1) % capacity
    return slot
  }

  #compare (slot: number, shift: number, bytes: Buffer): boolean {
    const at = slot * BODY_BYTES + shift
    return this.#bodies.compare(bytes, 0, bytes.length, at, at + bytes.length) === 0
  }

  #grow (): void {
    const [bodies, states] = [this.#bodies, this.#states]
    const capacity = Math.ceil(states.length * GROWTH)
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
