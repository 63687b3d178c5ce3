package job

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// syncBuffer is a buffer that a Logger writes while a test reads.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

// A takeover comes with a burst of starts. The lines about the takeover must not be dropped.
func TestBurstOfOneKindDropsNoOtherKind(t *testing.T) {
	var out syncBuffer
	l := logrus.New()
	l.SetOutput(&out)
	j := NewLogger(l, time.Now, t.Context().Done())
	for range 10 * logBurst {
		j.Write(LogLine{What: "start"})
	}
	require.Eventually(t, func() bool { return len(j.lines) == 0 }, time.Second, time.Millisecond)
	j.Write(LogLine{What: "takes over"})
	require.Eventually(t, func() bool { return strings.Contains(out.String(), "takes over") }, time.Second, time.Millisecond)
	require.Positive(t, j.Dropped())
	require.Eventually(t, func() bool { return strings.Contains(out.String(), "log lines dropped") }, 3*dropReportEvery, time.Millisecond)
	require.Contains(t, out.String(), "why=start")
}

// While nobody reads the log, writing does not block and counts the dropped lines.
func TestUnreadLogDoesNotBlock(t *testing.T) {
	r, w := io.Pipe()
	t.Cleanup(func() { _ = r.Close() })
	l := logrus.New()
	l.SetOutput(w)
	j := NewLogger(l, time.Now, t.Context().Done())
	for i := range 3 * logBuffer {
		j.Write(LogLine{What: string(rune('a' + i%26))})
	}
	require.Positive(t, j.Dropped())
}

// A daemon that exits before the Logger has written its buffer loses the last lines, which
// tell how the stop went: after eight planned stops none had left "stopped" in the log.
func TestLastLinesAreWrittenAtShutdown(t *testing.T) {
	var b syncBuffer
	l := logrus.New()
	l.SetOutput(&b)
	done := make(chan struct{})
	j := NewLogger(l, time.Now, done)
	const lines = 200
	for range lines {
		j.Write(LogLine{What: "stopped"})
	}
	close(done)
	j.Flush(time.Second)
	require.Equal(t, lines, strings.Count(b.String(), "msg=stopped"))
}
