package sardine

// Release is the version of all programs of this source tree.
const Release = "0.1.0"
