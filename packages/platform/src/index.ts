/** Clients of the platform: log, host list, engines, plain services. */
export {}
