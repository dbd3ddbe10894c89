import t from 'tap'
import { readOpenedPaths } from './trace.mjs'

const lines = (...all) => all.join('\n')

t.test('each executed or opened path is listed once', async (t) => {
  const trace = lines(
    '12 execve("/usr/bin/node", ["node"], 0x7ffd /* 3 vars */) = 0',
    '12 openat(AT_FDCWD, "/lib/libc.so.6", O_RDONLY|O_CLOEXEC) = 3',
    '13 openat(AT_FDCWD, "/lib/libc.so.6", O_RDONLY|O_CLOEXEC) = 4'
  )
  t.same(readOpenedPaths(trace), ['/usr/bin/node', '/lib/libc.so.6'])
})

t.test('missing files and relative paths are left out', async (t) => {
  const trace = lines(
    '12 openat(AT_FDCWD, "/etc/none", O_RDONLY) = -1 ENOENT (No such file or directory)',
    '12 openat(AT_FDCWD, "package.json", O_RDONLY) = 3'
  )
  t.same(readOpenedPaths(trace), [])
})

t.test('a call that strace split into two lines is joined', async (t) => {
  const trace = lines(
    '12 openat(AT_FDCWD, "/lib/a.so", O_RDONLY <unfinished ...>',
    '13 openat(AT_FDCWD, "/lib/b.so", O_RDONLY <unfinished ...>',
    '12 <... openat resumed>) = 3',
    '13 <... openat resumed>) = -1 ENOENT (No such file or directory)'
  )
  t.same(readOpenedPaths(trace), ['/lib/a.so'])
})
