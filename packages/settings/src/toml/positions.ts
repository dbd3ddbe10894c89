import type { AST } from 'toml-eslint-parser'
import type { KeyPath } from './issue.js'

/** Position in a file; line and column start at 1. */
export type Position = { line: number, column: number }

/** Index of the positions of all keys and array elements of a TOML file. */
export class PositionIndex {
  readonly #positions = new Map<string, Position>()

  private constructor () {}

  /** Builds the index of a parsed file. */
  static create (program: AST.TOMLProgram): PositionIndex {
    const index = new PositionIndex()
    for (const node of program.body[0].body) {
      if (node.type === 'TOMLTable') index.#addTable(node)
      else index.#addKeyValue([], node)
    }
    return index
  }

  /** Paths in the file whose last key is reserved by JavaScript objects, so that the parsed value cannot contain it. */
  reservedPaths (): KeyPath[] {
    return [...this.#positions.keys()]
      .map((key) => JSON.parse(key) as KeyPath)
      .filter((path) => path.at(-1) === '__proto__')
  }

  /** Position of a path, or of its nearest parent that the file contains. */
  find (path: KeyPath): Position {
    for (let length = path.length; length > 0; length -= 1) {
      const position = this.#positions.get(toIndexKey(path.slice(0, length)))
      if (position !== undefined) return position
    }
    return { line: 1, column: 1 }
  }

  #addTable (table: AST.TOMLTable): void {
    this.#add(table.resolvedKey, table.key)
    for (const node of table.body) this.#addKeyValue(table.resolvedKey, node)
  }

  #addKeyValue (parent: KeyPath, node: AST.TOMLKeyValue): void {
    const path = [...parent, ...node.key.keys.map(readKey)]
    this.#add(path, node.key)
    this.#addValue(path, node.value)
  }

  #addValue (path: KeyPath, node: AST.TOMLContentNode): void {
    if (node.type === 'TOMLInlineTable') {
      for (const child of node.body) this.#addKeyValue(path, child)
    }
    if (node.type !== 'TOMLArray') return
    for (const [index, element] of node.elements.entries()) {
      this.#add([...path, index], element)
      this.#addValue([...path, index], element)
    }
  }

  /** Adds a path, and those of its parents that have no position yet. */
  #add (path: KeyPath, node: { loc: AST.SourceLocation }): void {
    const position = { line: node.loc.start.line, column: node.loc.start.column + 1 }
    for (let length = path.length; length > 0; length -= 1) {
      const key = toIndexKey(path.slice(0, length))
      if (this.#positions.has(key)) return
      this.#positions.set(key, position)
    }
  }
}

function readKey (key: AST.TOMLBare | AST.TOMLQuoted): string {
  return key.type === 'TOMLBare' ? key.name : key.value
}

function toIndexKey (path: KeyPath): string {
  return JSON.stringify(path)
}
