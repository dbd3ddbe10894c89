/** What is resident where: pure planning. */
export {}
