package fleet

import "mintkeel/internal/core/fleet/works"

// Digest is the work that gathers what controllers have learned.
const Digest works.Work = "digest"
