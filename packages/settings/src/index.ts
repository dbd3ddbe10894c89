/** Settings files in TOML and their schemas. */
export {}
