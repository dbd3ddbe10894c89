/**
 * Lists that are replicated by incremental updates: the sender numbers its changes, the receiver applies those that it lacks.
 * State without I/O.
 */

/** Identifies one version of one sender's list. */
export type ListVersion = { listId: string, version: number }

/** A sender's list, or its changes since an earlier version. */
export type ListUpdate<Item> = {
  to: ListVersion
  /** `items` is the whole list, not only the changes since the version that the receiver reported. */
  complete: boolean
  items: Item[]
  /** Keys of items that left the list. */
  removed: string[]
}

export type ChangeListParts<Item> = {
  /** Unique to this list and this incarnation of the process. */
  listId: string
  keyOf: (item: Item) => string
  /** Whether two items of the same key have equal content. */
  isSame: (a: Item, b: Item) => boolean
}

/** The sender's side of a list. */
export class ChangeList<Item> {
  readonly #listed = new Map<string, { item: Item, version: number }>()
  readonly #removed = new Map<string, number>()
  #version = 0

  private constructor (private readonly parts: ChangeListParts<Item>) {}

  static create<Item> (parts: ChangeListParts<Item>): ChangeList<Item> {
    return new ChangeList(parts)
  }

  /** Replaces the content of the list by `items`. */
  update (items: readonly Item[]): void {
    const keys = new Set<string>()
    for (const item of items) {
      const key = this.parts.keyOf(item)
      keys.add(key)
      this.#put(key, item)
    }
    for (const key of this.#listed.keys()) {
      if (!keys.has(key)) this.#remove(key)
    }
  }

  /** Update for a receiver that has version `seen`; the whole list if that belongs to another list or incarnation. */
  changesSince (seen: ListVersion | undefined): ListUpdate<Item> {
    const { listId } = this.parts
    const complete = seen === undefined || seen.listId !== listId || seen.version > this.#version
    const since = complete ? 0 : seen.version
    const items = [...this.#listed.values()].filter(({ version }) => version > since).map(({ item }) => item)
    const removed = complete ? [] : [...this.#removed].filter(([, version]) => version > since).map(([key]) => key)
    return { to: { listId, version: this.#version }, complete, items, removed }
  }

  #put (key: string, item: Item): void {
    const known = this.#listed.get(key)
    if (known !== undefined && this.parts.isSame(known.item, item)) return
    this.#version += 1
    this.#listed.set(key, { item, version: this.#version })
    this.#removed.delete(key)
  }

  #remove (key: string): void {
    this.#version += 1
    this.#listed.delete(key)
    this.#removed.set(key, this.#version)
  }
}

/** The receiver's copy of another host's list. */
export class ListView<Item> {
  readonly #items = new Map<string, Item>()
  #seen: ListVersion | undefined

  private constructor (private readonly keyOf: (item: Item) => string) {}

  static create<Item> (keyOf: (item: Item) => string): ListView<Item> {
    return new ListView(keyOf)
  }

  get seen (): ListVersion | undefined {
    return this.#seen
  }

  get items (): Iterable<Item> {
    return this.#items.values()
  }

  /** Applies an update. Ignores one that is older than the present state, and an incremental one for an unknown list. */
  apply (update: ListUpdate<Item>): void {
    const isKnownList = this.#seen?.listId === update.to.listId
    if (isKnownList && update.to.version < (this.#seen?.version ?? 0)) return
    if (!isKnownList && !update.complete) return
    if (update.complete) this.#items.clear()
    for (const item of update.items) this.#items.set(this.keyOf(item), item)
    for (const key of update.removed) this.#items.delete(key)
    this.#seen = update.to
  }
}
