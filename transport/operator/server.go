// Package operator answers and asks hosts on behalf of operators over HTTP.
package operator

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hibiscuslever/hibiscuslever/protocol/operator"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

const (
	publishTimeout = 8 * time.Second
)

// Lists follows and publishes the two lists.
type Lists interface {
	// Lists returns the lists in force.
	Lists() (*lists.Lists, bool)
	// NotReadyReason returns why the lists are not to be used.
	NotReadyReason() string
	// History returns the latest verdicts on edits.
	History() []lists.Verdict
	// Publish appends an edit and returns what became of it.
	Publish(ctx context.Context, edit lists.Edit) (lists.Verdict, error)
}

// Status describes the host.
type Status interface {
	// Status returns what the host knows of the fleet.
	Status() operator.Status
}

// Server answers operators.
type Server struct {
	lists  Lists
	status Status
	echo   *echo.Echo
}

// NewServer returns a server that shows the host and its metrics.
func NewServer(status Status, metrics http.Handler) *Server {
	sv := &Server{status: status, echo: echo.New()}
	sv.echo.HideBanner = true
	sv.echo.GET(operator.HealthPath, func(ec echo.Context) error { return ec.String(http.StatusOK, "ok\n") })
	sv.echo.GET(operator.ReadyPath, sv.ready)
	sv.echo.GET(operator.MetricsPath, echo.WrapHandler(metrics))
	sv.echo.GET(operator.StatusPath, func(ec echo.Context) error { return ec.JSON(http.StatusOK, status.Status()) })
	return sv
}

// ServeLists lets operators show and publish the two lists, too.
func (sv *Server) ServeLists(ls Lists) {
	sv.lists = ls
	sv.echo.GET(operator.HistoryPath, sv.history)
	sv.echo.GET(operator.ListsPath+":list", sv.show)
	sv.echo.POST(operator.ListsPath+":list", sv.publish)
}

// Handler returns the HTTP interface.
func (sv *Server) Handler() http.Handler {
	return sv.echo
}

func (sv *Server) ready(ec echo.Context) error {
	if reason := sv.status.Status().NotReady; reason != "" {
		return ec.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return ec.String(http.StatusOK, "ready\n")
}

func (sv *Server) history(ec echo.Context) error {
	return ec.JSON(http.StatusOK, operator.History{Verdicts: sv.lists.History()})
}

func (sv *Server) show(ec echo.Context) error {
	list, current, err := sv.current(ec)
	if err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, operator.List{
		Name:     list,
		Revision: current.Revisions[list],
		Text:     string(current.Format(list)),
	})
}

func (sv *Server) current(ec echo.Context) (lists.Name, *lists.Lists, error) {
	list := lists.Name(ec.Param("list"))
	if list != lists.Plans && list != lists.Organisations {
		return "", nil, echo.NewHTTPError(http.StatusNotFound, "list "+string(list)+" does not exist; want Plans or Organisations")
	}
	current, ready := sv.lists.Lists()
	if !ready {
		return "", nil, echo.NewHTTPError(http.StatusServiceUnavailable, sv.lists.NotReadyReason())
	}
	return list, current, nil
}

func (sv *Server) publish(ec echo.Context) error {
	list, current, err := sv.current(ec)
	if err != nil {
		return err
	}
	var rq operator.PublishRequest
	if err := ec.Bind(&rq); err != nil {
		return err
	}
	sections, err := lists.ParseSections(list, []byte(rq.Text))
	if err != nil {
		return ec.JSON(http.StatusOK, operator.PublishResponse{Problem: err.Error(), Winner: id.NoOffset})
	}
	if rq.Base != current.Revisions[list] {
		return ec.JSON(http.StatusOK, conflict(list, current, rq.Base))
	}
	edit, err := current.Diff(list, sections)
	if err != nil {
		return ec.JSON(http.StatusOK, operator.PublishResponse{Problem: err.Error(), Winner: id.NoOffset})
	}
	edit.Token = rand.Text()
	edit.Operator = rq.Operator
	answer := operator.PublishResponse{Accepted: true, Revision: current.Revisions[list], Removed: edit.Remove, Winner: id.NoOffset}
	for _, sec := range edit.Put {
		answer.Changed = append(answer.Changed, sec.Name)
	}
	if rq.Check || len(edit.Put)+len(edit.Remove) == 0 {
		return ec.JSON(http.StatusOK, answer)
	}
	return sv.append(ec, edit, answer)
}

func conflict(list lists.Name, current *lists.Lists, base id.Offset) operator.PublishResponse {
	return operator.PublishResponse{
		Problem:  conflictText(list, current.Revisions[list], base),
		Revision: current.Revisions[list],
		Winner:   current.Revisions[list],
	}
}

func (sv *Server) append(ec echo.Context, edit lists.Edit, answer operator.PublishResponse) error {
	ctx, cancel := context.WithTimeout(ec.Request().Context(), publishTimeout)
	defer cancel()
	verdict, err := sv.lists.Publish(ctx, edit)
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	answer.Accepted = verdict.Accepted
	answer.Revision = verdict.Offset
	answer.Winner = verdict.Winner
	answer.Problem = verdict.Reason
	return ec.JSON(http.StatusOK, answer)
}
