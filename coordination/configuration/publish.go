package configuration

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// publishRetryDelay is the wait before an append that was refused or whose answer was lost is tried again.
const publishRetryDelay = 200 * time.Millisecond

// ErrNotConfirmed says that the log could not tell in time whether an edit was accepted.
var ErrNotConfirmed = errors.New("the platform's log did not confirm the edit in time; look at the history before publishing again")

// Publish appends an edit and returns what became of it once the log shows it.
// An edit whose append answer was lost is appended again with the same token, which changes nothing if it is there.
func (fw *Follower) Publish(ctx context.Context, edit lists.Edit) (lists.Verdict, error) {
	if err := fw.checkEdit(edit); err != nil {
		return lists.Verdict{}, err
	}
	body, err := lists.EncodeRecord(lists.Record{Edit: &edit})
	if err != nil {
		return lists.Verdict{}, err
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, fw.config.CallTimeout)
		fw.log.Append(callCtx, body)
		cancel()
		if verdict, ok := fw.readVerdict(ctx, edit.Token); ok {
			return verdict, nil
		}
		timer.Sleep(ctx, fw.clock, publishRetryDelay)
	}
	return lists.Verdict{}, ErrNotConfirmed
}

func (fw *Follower) checkEdit(edit lists.Edit) error {
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
	fw.readMutex.Lock()
	defer fw.readMutex.Unlock()
	if fw.readLogToEnd(ctx) != nil {
		return lists.Verdict{}, false
	}
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	return fw.fold.Verdict(token)
}
