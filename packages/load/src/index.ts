/** figloom-load: sends a described load and reports attainment. */
export {}
