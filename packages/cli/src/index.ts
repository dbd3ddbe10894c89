/** figloom: the command line for operators. */
export {}
