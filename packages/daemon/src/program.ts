/** Name and release of this program. */
export const PROGRAM = 'figloomd'
export const RELEASE = '0.1.0'
