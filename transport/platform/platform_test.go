package platform_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/protocol/store"
	standin "github.com/hickorylug/hickorylug/standin/platform"
	"github.com/hickorylug/hickorylug/transport/platform"
)

func start(t *testing.T) (*standin.Platform, *platform.Client) {
	t.Helper()
	p := standin.NewPlatform()
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, platform.NewClient(server.URL)
}

func TestSwapComparesRevisions(t *testing.T) {
	i := is.New(t)
	_, c := start(t)
	first, err := c.Swap(t.Context(), "a", 0, []byte("1"))
	i.NoErr(err)
	_, err = c.Swap(t.Context(), "a", 0, []byte("2"))
	i.True(errors.Is(err, platform.ErrConflict))
	_, err = c.Swap(t.Context(), "a", first.Revision, []byte("3"))
	i.NoErr(err)
	item, err := c.Get(t.Context(), "a")
	i.NoErr(err)
	i.Equal(string(item.Value), "3")
}

func TestLostAnswerIsSettledByReading(t *testing.T) {
	i := is.New(t)
	p, c := start(t)
	p.SetFaults(standin.Faults{LostResponses: 1})
	item, err := c.SwapAndVerify(t.Context(), "a", 0, []byte("mine"))
	i.NoErr(err)
	i.Equal(string(item.Value), "mine")
}

func TestLateWriteStaysUnsettled(t *testing.T) {
	i := is.New(t)
	p, c := start(t)
	p.SetFaults(standin.Faults{LostResponses: 1, WriteDelay: time.Hour})
	_, err := c.SwapAndVerify(t.Context(), "a", 0, []byte("mine"))
	i.True(errors.Is(err, platform.ErrOutcomeUnknown)) // never guessed: the write may still take effect
}

func TestLateWriteBehindANewerOneHasNoEffect(t *testing.T) {
	i := is.New(t)
	p, c := start(t)
	p.SetFaults(standin.Faults{LostResponses: 1, WriteDelay: 50 * time.Millisecond})
	_, err := c.Swap(t.Context(), "a", 0, []byte("late"))
	i.True(errors.Is(err, platform.ErrOutcomeUnknown))
	p.SetFaults(standin.Faults{})
	_, err = c.Swap(t.Context(), "a", 0, []byte("newer"))
	i.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	i.Equal(string(p.Item("a").Value), "newer")
}

func TestOutageIsNamed(t *testing.T) {
	i := is.New(t)
	p, c := start(t)
	p.SetOutage(true)
	_, err := c.Get(t.Context(), "a")
	i.True(errors.Is(err, platform.ErrUnavailable))
	_, err = c.SwapAndVerify(t.Context(), "a", 0, []byte("x"))
	i.True(err != nil)
}

func TestWatchReturnsOnlyWhatIsNew(t *testing.T) {
	i := is.New(t)
	_, c := start(t)
	first, err := c.Swap(t.Context(), "p/a", 0, []byte("1"))
	i.NoErr(err)
	_, err = c.Swap(t.Context(), "q/b", 0, []byte("2"))
	i.NoErr(err)
	changes, err := c.Watch(t.Context(), "p/", 0, 0)
	i.NoErr(err)
	i.Equal(len(changes.Items), 1)
	done := make(chan store.Changes, 1)
	go func() {
		changes, err := c.Watch(t.Context(), "p/", changes.Revision, time.Minute)
		if err != nil {
			t.Error(err)
		}
		done <- changes
	}()
	_, err = c.Swap(t.Context(), "p/a", first.Revision, []byte("3"))
	i.NoErr(err)
	got := <-done
	i.Equal(string(got.Items[0].Value), "3")
}
