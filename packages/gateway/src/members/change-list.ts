/** Lists that are sent as changes: the sender's side numbers its changes, the receiver's side follows them. Pure state. */

/** A state of one sender's list. */
export type ListVersion = { listId: string, version: number }

/** A sender's list, or what changed in it. */
export type ListUpdate<Item> = {
  to: ListVersion
  /** The whole list, not only changes since the version that the receiver named. */
  complete: boolean
  items: Item[]
  /** Keys of items that left the list. */
  removed: string[]
}

export type ChangeListParts<Item> = {
  /** Names this list in the life of this process. */
  listId: string
  keyOf: (item: Item) => string
  /** Two items of the same key say the same. */
  isSame: (one: Item, other: Item) => boolean
}

/** A list as its sender keeps it. */
export class ChangeList<Item> {
  readonly #listed = new Map<string, { item: Item, version: number }>()
  readonly #removed = new Map<string, number>()
  #version = 0

  private constructor (private readonly parts: ChangeListParts<Item>) {}

  static create<Item> (parts: ChangeListParts<Item>): ChangeList<Item> {
    return new ChangeList(parts)
  }

  /** Takes over the items as they stand. */
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

  /** What a receiver lacks that has `seen`; the whole list where that is of another life or list. */
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

/** Another host's list as its receiver knows it. */
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

  /** Takes over an update; one that was overtaken, or that changes a state that isn't known here, is passed over. */
  apply (update: ListUpdate<Item>): void {
    const follows = this.#seen?.listId === update.to.listId
    if (follows && update.to.version < (this.#seen?.version ?? 0)) return
    if (!follows && !update.complete) return
    if (update.complete) this.#items.clear()
    for (const item of update.items) this.#items.set(this.keyOf(item), item)
    for (const key of update.removed) this.#items.delete(key)
    this.#seen = update.to
  }
}
