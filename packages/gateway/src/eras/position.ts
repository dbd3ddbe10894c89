/**
 * Positions in the platform's history. The platform may come back from an older copy: its offsets then start again from an
 * earlier one, in a new era. A position holds both in one number, so that any position of a later era is greater. Pure functions.
 */

/** Era and offset; the difference of two positions of one era is that of their offsets. */
export type Position = number

/** Offsets of one era stay below this; eras below 2^17 keep positions exact. */
const OFFSETS_PER_ERA = 2 ** 36

export function createPosition (era: number, offset: number): Position {
  return era * OFFSETS_PER_ERA + offset
}

export function eraOf (position: Position): number {
  return Math.floor(position / OFFSETS_PER_ERA)
}

export function offsetOf (position: Position): number {
  return position % OFFSETS_PER_ERA
}

/** The first position of the era that `position` belongs to. */
export function startOfEra (position: Position): Position {
  return createPosition(eraOf(position), 0)
}
