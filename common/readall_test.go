package common

import (
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestReadAllReadsUntilTheEnd(t *testing.T) {
	for _, n := range []int{0, 1, 511, 512, 513, 5000, 1 << 20} {
		text := strings.Repeat("abcdefg", n/7+1)[:n]
		for _, r := range []io.Reader{strings.NewReader(text), iotest.DataErrReader(strings.NewReader(text)), iotest.HalfReader(strings.NewReader(text))} {
			b, err := ReadAll(r)
			require.NoError(t, err)
			require.Equal(t, text, string(b))
		}
	}
}

// TestBodyThatBreaksOffIsNotCopied guards against memory for bodies that nobody uses.
func TestBodyThatBreaksOffIsNotCopied(t *testing.T) {
	const size = 8 << 20
	text := strings.Repeat("x", size)
	broken := errors.New("broken off")
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b, err := ReadAll(io.MultiReader(strings.NewReader(text), iotest.ErrReader(broken)))
	runtime.ReadMemStats(&after)
	require.ErrorIs(t, err, broken)
	require.Zero(t, len(b))
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(size*7/4))
}
