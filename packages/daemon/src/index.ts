/** figloomd: the daemon of an entry host. */
export {}
