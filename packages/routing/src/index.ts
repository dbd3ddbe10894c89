/** Admission, choice of runner, retries and limits: pure decisions. */
export {}
