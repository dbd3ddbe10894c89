/** Generates docs/ERRORS.md from the error codes in the source. */
import { writeFile } from 'node:fs/promises'
import { formatErrorsPage } from '@figloom/runtime'

const docs = new URL('../docs/', import.meta.url)
await writeFile(new URL('ERRORS.md', docs), formatErrorsPage())
