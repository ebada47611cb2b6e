// Package operator implements the HTTP interface for operators: the server on each host, and a client for it.
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
	// publishTimeout limits how long a publish request waits for the verdict on its edit.
	publishTimeout = 8 * time.Second
)

// Lists provides the lists of plans and organisations, and publishes edits of them.
type Lists interface {
	// Lists returns the current lists, and false if they must not be used.
	Lists() (*lists.Lists, bool)
	// NotReadyReason returns why the lists must not be used.
	NotReadyReason() string
	// History returns the verdicts on the latest edits.
	History() []lists.Verdict
	// Publish appends an edit to the log and waits for the verdict on it.
	Publish(ctx context.Context, edit lists.Edit) (lists.Verdict, error)
	// Evacuate appends an evacuation of an availability zone to the log and waits for the verdict on it.
	Evacuate(ctx context.Context, evacuation lists.Evacuation) (lists.Verdict, error)
}

// Status describes the host.
type Status interface {
	// Status returns the state of the fleet as the host knows it.
	Status() operator.Status
}

// Server handles the requests of operators.
type Server struct {
	lists  Lists
	status Status
	echo   *echo.Echo
}

// NewServer returns a server with the health, readiness, metrics and status endpoints of a host.
func NewServer(status Status, metrics http.Handler) *Server {
	sv := &Server{status: status, echo: echo.New()}
	sv.echo.HideBanner = true
	sv.echo.GET(operator.HealthPath, func(ec echo.Context) error { return ec.String(http.StatusOK, "ok\n") })
	sv.echo.GET(operator.ReadyPath, sv.handleReady)
	sv.echo.GET(operator.MetricsPath, echo.WrapHandler(metrics))
	sv.echo.GET(operator.StatusPath, func(ec echo.Context) error { return ec.JSON(http.StatusOK, status.Status()) })
	return sv
}

// ServeLists adds the endpoints that show and publish the lists and that evacuate availability zones. It must be called before the server handles requests.
func (sv *Server) ServeLists(listsProvider Lists) {
	sv.lists = listsProvider
	sv.echo.GET(operator.HistoryPath, sv.handleHistory)
	sv.echo.GET(operator.ListsPath+":list", sv.handleShow)
	sv.echo.POST(operator.ListsPath+":list", sv.handlePublish)
	sv.echo.POST(operator.EvacuationsPath, sv.handleEvacuation)
}

// Handler returns the HTTP handler of all endpoints.
func (sv *Server) Handler() http.Handler {
	return sv.echo
}

func (sv *Server) handleReady(ec echo.Context) error {
	if reason := sv.status.Status().NotReady; reason != "" {
		return ec.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return ec.String(http.StatusOK, "ready\n")
}

func (sv *Server) handleHistory(ec echo.Context) error {
	return ec.JSON(http.StatusOK, operator.History{Verdicts: sv.lists.History()})
}

func (sv *Server) handleShow(ec echo.Context) error {
	list, currentLists, err := sv.requestedList(ec)
	if err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, operator.List{
		Name:     list,
		Revision: currentLists.Revisions[list],
		Text:     string(currentLists.Format(list)),
	})
}

// requestedList returns the name of the list in the request's path, and the current lists. The error is an
// echo.HTTPError.
func (sv *Server) requestedList(ec echo.Context) (lists.Name, *lists.Lists, error) {
	list := lists.Name(ec.Param("list"))
	if list != lists.Plans && list != lists.Organisations {
		return "", nil, echo.NewHTTPError(http.StatusNotFound, "list "+string(list)+" does not exist; want Plans or Organisations")
	}
	currentLists, ready := sv.lists.Lists()
	if !ready {
		return "", nil, echo.NewHTTPError(http.StatusServiceUnavailable, sv.lists.NotReadyReason())
	}
	return list, currentLists, nil
}

// handlePublish replaces the content of a list with the text of the request. An invalid text, and one that was made
// from an outdated revision, are answered with status 200 and a problem. An edit without changes, and one that is only
// to be checked, are not published.
func (sv *Server) handlePublish(ec echo.Context) error {
	list, currentLists, err := sv.requestedList(ec)
	if err != nil {
		return err
	}
	var request operator.PublishRequest
	if err := ec.Bind(&request); err != nil {
		return err
	}
	sections, err := lists.ParseSections(list, []byte(request.Text))
	if err != nil {
		return ec.JSON(http.StatusOK, operator.PublishResponse{Problem: err.Error(), Winner: id.NoOffset})
	}
	if request.Base != currentLists.Revisions[list] {
		return ec.JSON(http.StatusOK, newConflict(list, currentLists, request.Base))
	}
	edit, err := currentLists.Diff(list, sections)
	if err != nil {
		return ec.JSON(http.StatusOK, operator.PublishResponse{Problem: err.Error(), Winner: id.NoOffset})
	}
	edit.Token = rand.Text()
	edit.Operator = request.Operator
	response := operator.PublishResponse{Accepted: true, Revision: currentLists.Revisions[list], Removed: edit.Remove, Winner: id.NoOffset}
	for _, section := range edit.Put {
		response.Changed = append(response.Changed, section.Name)
	}
	if request.Check || len(edit.Put)+len(edit.Remove) == 0 {
		return ec.JSON(http.StatusOK, response)
	}
	return sv.append(ec, edit, response)
}

// handleEvacuation evacuates an availability zone or ends that, and responds when the log shows it.
func (sv *Server) handleEvacuation(ec echo.Context) error {
	var request operator.EvacuationRequest
	if err := ec.Bind(&request); err != nil {
		return err
	}
	evacuation := lists.Evacuation{Zone: request.Zone, Ended: request.End, Operator: request.Operator, Token: rand.Text()}
	if err := evacuation.Check(); err != nil {
		return ec.JSON(http.StatusOK, operator.EvacuationResponse{Problem: err.Error()})
	}
	ctx, cancel := context.WithTimeout(ec.Request().Context(), publishTimeout)
	defer cancel()
	verdict, err := sv.lists.Evacuate(ctx, evacuation)
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	current, _ := sv.lists.Lists()
	return ec.JSON(http.StatusOK, operator.EvacuationResponse{Accepted: verdict.Accepted, Revision: verdict.Offset, EvacuatedZones: current.EvacuatedZones, Problem: verdict.Reason})
}

// newConflict returns the response to an edit that was made from an outdated revision.
func newConflict(list lists.Name, currentLists *lists.Lists, baseRevision id.Offset) operator.PublishResponse {
	return operator.PublishResponse{
		Problem:  formatConflict(list, currentLists.Revisions[list], baseRevision),
		Revision: currentLists.Revisions[list],
		Winner:   currentLists.Revisions[list],
	}
}

// append appends an edit to the log and responds with the verdict on it.
func (sv *Server) append(ec echo.Context, edit lists.Edit, response operator.PublishResponse) error {
	ctx, cancel := context.WithTimeout(ec.Request().Context(), publishTimeout)
	defer cancel()
	verdict, err := sv.lists.Publish(ctx, edit)
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	response.Accepted = verdict.Accepted
	response.Revision = verdict.Offset
	response.Winner = verdict.Winner
	response.Problem = verdict.Reason
	return ec.JSON(http.StatusOK, response)
}
