import { ResultCode } from './codes.js'

const INTRODUCTION = `# Result codes

Every refusal and failure has a number. Callers see it as \`error.code\` in the body, or in the \`error\` event of a
stream; the command line and the logs use the same numbers. \`ran\` is \`no\` only if no byte of the request reached a
backend server, or the engine confirmed that it never started. The column gives the usual value: an error says \`unknown\`
instead when an earlier attempt of the same request may have run. \`retryAfterMs\`, where present, is the time to wait before a retry.

| code | type | HTTP status | ran | meaning | what to do |
| --- | --- | --- | --- | --- | --- |
`

/** Renders docs/ERRORS.md from the table of result codes. */
export function formatErrorsPage (): string {
  const rows = Object.values(ResultCode).map(({ code, type, httpStatus, ran, meaning, action }) => (
    `| ${code} | \`${type}\` | ${httpStatus} | \`${ran}\` | ${meaning} | ${action} |`))
  return INTRODUCTION + rows.join('\n') + '\n'
}
