package configuration

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// publishRetryDelay is the time before an edit that does not appear in the log is appended again.
const publishRetryDelay = 200 * time.Millisecond

// ErrNotConfirmed is returned if the log did not show in time whether an edit was accepted.
var ErrNotConfirmed = errors.New("the platform's log did not confirm the edit in time; look at the history before publishing again")

// Publish appends an edit to the log and returns the verdict on it once the log shows it. An edit that does not appear
// is appended again until the context ends, with the same token, so that an edit stored twice counts once.
func (fw *Follower) Publish(ctx context.Context, edit lists.Edit) (lists.Verdict, error) {
	if err := fw.checkEdit(edit); err != nil {
		return lists.Verdict{}, err
	}
	return fw.appendUntilDecided(ctx, lists.Record{Edit: &edit}, edit.Token)
}

// Evacuate appends an evacuation of an availability zone, or its end, to the log and returns the verdict on it once the log
// shows it. It repeats the record like Publish.
func (fw *Follower) Evacuate(ctx context.Context, evacuation lists.Evacuation) (lists.Verdict, error) {
	if _, ready := fw.Lists(); !ready {
		return lists.Verdict{}, fmt.Errorf("this host can't publish: %s", fw.NotReadyReason())
	}
	return fw.appendUntilDecided(ctx, lists.Record{Evacuation: &evacuation}, evacuation.Token)
}

// appendUntilDecided appends a record with a token until the log shows it, and returns the verdict on it.
func (fw *Follower) appendUntilDecided(ctx context.Context, record lists.Record, token string) (lists.Verdict, error) {
	body, err := lists.EncodeRecord(record)
	if err != nil {
		return lists.Verdict{}, err
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, fw.config.CallTimeout)
		fw.log.Append(callCtx, body)
		cancel()
		if verdict, ok := fw.readVerdict(ctx, token); ok {
			return verdict, nil
		}
		timer.Sleep(ctx, fw.clock, publishRetryDelay)
	}
	return lists.Verdict{}, ErrNotConfirmed
}

// checkEdit returns an error if the lists are not ready or the edit is invalid. It lets an edit of an outdated revision
// pass, so that the log shows the conflict.
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

// readVerdict reads the log to its end and returns the verdict on the edit with the given token, and false if there is
// none or the log could not be read.
func (fw *Follower) readVerdict(ctx context.Context, token string) (lists.Verdict, bool) {
	fw.readMutex.Lock()
	defer fw.readMutex.Unlock()
	if fw.readLogToEnd(ctx) != nil {
		return lists.Verdict{}, false
	}
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	return fw.replica.Verdict(token)
}
