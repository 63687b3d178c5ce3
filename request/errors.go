package request

import "github.com/ansel1/merry/v2"

// errNoSpill says that no other data centre can take the request.
var errNoSpill = merry.New("no other data centre can take it")
