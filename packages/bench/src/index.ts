/** Benchmarks that print JSON and write sections of docs/MEASUREMENTS.md and docs/CAPACITY.md. */
export {}
