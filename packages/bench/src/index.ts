/** Benchmarks that print JSON and write docs/MEASUREMENTS.md. */
export {}
