/** figloomd: the daemon of an entry host. */
export * from './app.js'
