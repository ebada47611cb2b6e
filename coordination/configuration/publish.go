package configuration

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// publishRetry is the wait before an append that was refused or whose answer was lost is tried again.
const publishRetry = 200 * time.Millisecond

// ErrNotConfirmed says that the log could not tell in time whether an edit was accepted.
var ErrNotConfirmed = errors.New("the platform's log did not confirm the edit in time; look at the history before publishing again")

// Publish appends an edit and returns what became of it once the log shows it.
// An edit whose append answer was lost is appended again with the same token, which changes nothing if it is there.
func (fw *Follower) Publish(ctx context.Context, edit lists.Edit) (lists.Verdict, error) {
	if err := fw.check(edit); err != nil {
		return lists.Verdict{}, err
	}
	body, err := lists.EncodeRecord(lists.Record{Edit: &edit})
	if err != nil {
		return lists.Verdict{}, err
	}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, fw.config.CallTimeout)
		fw.log.Append(call, body)
		cancel()
		if verdict, ok := fw.readVerdict(ctx, edit.Token); ok {
			return verdict, nil
		}
		timer.Sleep(ctx, fw.clock, publishRetry)
	}
	return lists.Verdict{}, ErrNotConfirmed
}

func (fw *Follower) check(edit lists.Edit) error {
	current, ready := fw.Lists()
	if !ready {
		return fmt.Errorf("this host can't publish: %s", fw.NotReadyReason())
	}
	if current.Revisions[edit.List] != edit.Base {
		return nil
	}
	return current.Check(edit)
}

// readVerdict reads the log to its end and looks for the edit.
func (fw *Follower) readVerdict(ctx context.Context, token string) (lists.Verdict, bool) {
	fw.reading.Lock()
	defer fw.reading.Unlock()
	if fw.readLog(ctx) != nil {
		return lists.Verdict{}, false
	}
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	return fw.fold.Verdict(token)
}
