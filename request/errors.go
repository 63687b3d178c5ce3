package request

import "github.com/ansel1/merry/v2"

// errNoOtherDataCentre says that no other data centre can take the request.
var errNoOtherDataCentre = merry.New("no other data centre can take it")
