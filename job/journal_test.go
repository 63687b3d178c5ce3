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

// syncBuffer is a buffer that a journal writes while a test reads.
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

// A takeover comes with a burst of starts. The lines that tell of it must be there.
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
	require.Eventually(t, func() bool { return strings.Contains(out.String(), "log lines left out") }, 3*dropReportEvery, time.Millisecond)
	require.Contains(t, out.String(), "why=start")
}

// Nobody reads the log: writing goes on, and counts.
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

// TestLastLinesAreWrittenAtShutdown tells of a daemon that ended before the lines of its stop
// were written: of eight planned stops on one day none left "stopped" in the log, so that
// nothing told what a stop had met.
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
