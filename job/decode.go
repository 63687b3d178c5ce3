package job

import (
	"context"

	"amberway/common"
	"amberway/platform"
)

const (
	// largeBody is the size from which the decoding of a body counts against maxDecoding.
	largeBody = 16 << 10
	// maxDecoding is how many large bodies are decoded at once: a decoded body takes several
	// times the memory of its text.
	maxDecoding = 4
)

// decode decodes a job. It returns common.ErrOverload if the context ends before a large one
// has its turn.
func (h callerHandler) decode(ctx context.Context, b []byte) (platform.Submission, error) {
	if len(b) < largeBody {
		return platform.DecodeSubmission(b)
	}
	select {
	case h.node.decoding <- struct{}{}:
	case <-ctx.Done():
		return platform.Submission{}, common.ErrOverload
	}
	defer func() { <-h.node.decoding }()
	return platform.DecodeSubmission(b)
}
